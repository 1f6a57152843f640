package org.banyanstair.server;

/** Exit codes of the daemon. */
public enum ExitCode {
    /** Stopped as asked, with nothing cut off. */
    STOPPED(0),
    /** Could not start, or failed while running. */
    FAILED(1),
    /** The command line or the settings are invalid. */
    INVALID(2),
    /** Stopped as asked, but the drain limit came before all requests had ended. */
    CUT_OFF(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the number for the operating system. */
    public int value() {
        return value;
    }
}
