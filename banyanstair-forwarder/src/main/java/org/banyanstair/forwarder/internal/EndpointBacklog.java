package org.banyanstair.forwarder.internal;

import java.util.HashMap;
import java.util.Map;

import org.banyanstair.model.NetworkAddress;

/** Bytes of requests that endpoints have not taken yet. Has no I/O. Used on the event loop thread only. */
final class EndpointBacklog {
    /**
     * Bytes that wait for an endpoint from which on it gets no further request. Half of the largest body, and some
     * fifty long prompts.
     */
    private static final long LIMIT_BYTES = 2L << 20;

    private final Map<NetworkAddress, Long> unwritten = new HashMap<>();
    private long totalBytes;

    /** Records bytes that are to be sent to an endpoint. */
    void add(NetworkAddress address, long bytes) {
        unwritten.merge(address, bytes, Long::sum);
        totalBytes += bytes;
    }

    /** Records bytes that the operating system has taken, or that will not be sent. */
    void remove(NetworkAddress address, long bytes) {
        unwritten.computeIfPresent(address, (key, before) -> before > bytes ? before - bytes : null);
        totalBytes -= bytes;
    }

    /** Returns whether an endpoint has to read before it is sent more. */
    boolean isFull(NetworkAddress address) {
        return unwritten.getOrDefault(address, 0L) >= LIMIT_BYTES;
    }

    /** Returns the bytes that wait for all endpoints. */
    long totalBytes() {
        return totalBytes;
    }
}
