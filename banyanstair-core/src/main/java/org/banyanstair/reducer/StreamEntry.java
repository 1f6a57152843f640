package org.banyanstair.reducer;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.external.LogEntry;

/**
 * One decoded record of a log stream.
 *
 * @param offset offset in the stream
 * @param appendedAt when the log service stored it, by its clock
 * @param entry the value, empty if the payload could not be decoded
 */
public record StreamEntry(long offset, Instant appendedAt, Optional<LogEntry> entry) {}
