package org.banyanstair.forwarder;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.banyanstair.forwarding.DecisionRecord;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Passes the log entries of the process to its decision log, which never blocks the caller; to standard error while
 * there is none.
 *
 * <p>Created by tinylog. Thread-safe.
 */
public final class DecisionLogWriter implements Writer {
    private static final AtomicReference<Optional<DecisionLog>> TARGET = new AtomicReference<>(Optional.empty());

    /** Creates a writer. */
    public DecisionLogWriter(Map<String, String> properties) {}

    /** Directs all further log entries of the process to a decision log. */
    static void redirectTo(DecisionLog log) {
        TARGET.set(Optional.of(log));
    }

    /** Directs all further log entries to standard error if they go to the given decision log. */
    static void endRedirection(DecisionLog log) {
        TARGET.updateAndGet(current -> current.filter(active -> active != log));
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.LEVEL, LogEntryValue.CLASS, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        String source = entry.getClassName().substring(entry.getClassName().lastIndexOf('.') + 1);
        String message = Optional.ofNullable(entry.getMessage()).orElse("");
        String exception = Optional.ofNullable(entry.getException())
                .map(StackTrace::format)
                .orElse("");
        TARGET.get()
                .ifPresentOrElse(
                        log -> log.write(record(entry.getLevel(), source, message, exception)),
                        () -> System.err.println(entry.getLevel() + " " + source + " " + message
                                + (exception.isEmpty() ? "" : System.lineSeparator() + exception)));
    }

    private static DecisionRecord record(Level level, String source, String message, String exception) {
        Object[] fields = {"level", level, "class", source, "message", message, "exception", exception};
        return level.ordinal() >= Level.WARN.ordinal()
                ? DecisionRecord.important("message", fields)
                : DecisionRecord.of("message", fields);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
