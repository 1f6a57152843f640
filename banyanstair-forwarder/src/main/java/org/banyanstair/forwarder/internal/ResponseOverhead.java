package org.banyanstair.forwarder.internal;

/** Counts the bytes that came for one call against the bytes of its body. Not safe for use by several threads. */
final class ResponseOverhead {
    /**
     * Bytes beside the body of the awaited answer: its head, which the decoder limits to 40 KiB, an answer to an
     * earlier request, and the framing of chunks.
     */
    static final int MAXIMUM_OVERHEAD_BYTES = 256 << 10;

    /** Bytes of framing for each byte of a long body; chunks of a few bytes cost far more time than their bytes. */
    static final int MAXIMUM_FRAMING_BYTES_PER_BODY_BYTE = 1;

    private long receivedBytes;
    private long bodyBytes;

    void addReceived(int bytes) {
        receivedBytes += bytes;
    }

    /** Counts bytes of the body of the awaited answer. */
    void addBody(int bytes) {
        bodyBytes += bytes;
    }

    boolean isExcessive() {
        return receivedBytes - bodyBytes > MAXIMUM_OVERHEAD_BYTES + MAXIMUM_FRAMING_BYTES_PER_BODY_BYTE * bodyBytes;
    }
}
