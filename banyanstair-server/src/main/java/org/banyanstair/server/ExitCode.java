package org.banyanstair.server;

/** Exit codes of the daemon. */
public enum ExitCode {
    /** Stopped on request; all requests in flight completed. */
    STOPPED(0),
    /** Failed to start, or failed while running. */
    FAILED(1),
    /** The command line or the settings file is invalid. */
    INVALID(2),
    /** Stopped on request, but the drain limit passed before all requests in flight had completed. */
    CUT_OFF(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the exit code of the process. */
    public int value() {
        return value;
    }
}
