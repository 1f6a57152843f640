package org.banyanstair.external;

/** Ends a running operation. */
@FunctionalInterface
public interface Cancellation {
    /** Cancels the operation; no effect if it has ended. May be called from any thread. */
    void cancel();
}
