package org.banyanstair.forwarder.internal;

/** Counts the bytes that came for one call against the bytes of its body. Not safe for use by several threads. */
final class ResponseOverhead {
    /**
     * Bytes beside the body of the awaited answer: its head, which the decoder limits to 40 KiB, an answer to an
     * earlier request, and the framing of chunks.
     */
    static final int EXCESS_BYTES = 256 << 10;

    /** Bytes of framing for each byte of a long body; chunks of a few bytes cost far more time than their bytes. */
    static final int FRAMING_PER_BYTE = 1;

    private long received;
    private long used;

    void received(int bytes) {
        received += bytes;
    }

    /** Counts bytes of the body of the awaited answer. */
    void used(int bytes) {
        used += bytes;
    }

    boolean excessive() {
        return received - used > EXCESS_BYTES + FRAMING_PER_BYTE * used;
    }
}
