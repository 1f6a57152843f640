package org.banyanstair.reducer;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.external.LogEntry;

/**
 * One decoded record of a log stream.
 *
 * @param offset place in the stream
 * @param appendedAt instant at which the log service took it
 * @param entry the value, empty if the payload could not be decoded
 */
public record StreamEntry(long offset, Instant appendedAt, Optional<LogEntry> entry) {}
