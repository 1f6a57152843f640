package org.banyanstair.forwarder;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Text of an exception for a log line. */
final class StackTrace {
    /** Keeps the lines of a full queue within the memory of a small host. */
    private static final int MAXIMUM_CHARACTERS = 4096;

    private StackTrace() {}

    static String format(Throwable exception) {
        StringWriter text = new StringWriter();
        exception.printStackTrace(new PrintWriter(text));
        return text.getBuffer()
                .substring(0, Math.min(MAXIMUM_CHARACTERS, text.getBuffer().length()));
    }
}
