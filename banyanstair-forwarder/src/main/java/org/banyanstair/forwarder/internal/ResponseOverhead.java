package org.banyanstair.forwarder.internal;

/** Compares the bytes received for one call with the bytes of its body. Not thread-safe. */
final class ResponseOverhead {
    /**
     * Allowed bytes besides the body of the awaited response: its head, which the decoder limits to 40 KiB, a
     * response to an earlier request, and chunk framing.
     */
    static final int MAXIMUM_OVERHEAD_BYTES = 256 << 10;

    /**
     * Allowed framing bytes per byte of a long body. Chunks of a few bytes cost far more processing time than their
     * bytes suggest.
     */
    static final int MAXIMUM_FRAMING_BYTES_PER_BODY_BYTE = 1;

    private long receivedBytes;
    private long bodyBytes;

    void addReceived(int bytes) {
        receivedBytes += bytes;
    }

    /** Adds bytes of the body of the awaited response. */
    void addBody(int bytes) {
        bodyBytes += bytes;
    }

    boolean isExcessive() {
        return receivedBytes - bodyBytes > MAXIMUM_OVERHEAD_BYTES + MAXIMUM_FRAMING_BYTES_PER_BODY_BYTE * bodyBytes;
    }
}
