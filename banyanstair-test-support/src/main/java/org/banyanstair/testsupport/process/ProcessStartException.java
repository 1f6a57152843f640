package org.banyanstair.testsupport.process;

/** A child process ended or missed its deadline before it was ready. */
public final class ProcessStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProcessStartException(String name, String reason, String output) {
        super("process " + name + " " + reason + "; end of its output:\n" + output);
    }
}
