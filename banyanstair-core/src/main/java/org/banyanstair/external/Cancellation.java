package org.banyanstair.external;

/** Handle that cancels a running operation. */
@FunctionalInterface
public interface Cancellation {
    /** Cancels the operation; has no effect if it has ended. Thread-safe. */
    void cancel();
}
