package org.banyanstair.external;

import java.time.Instant;

/**
 * One record of a stream.
 *
 * @param offset offset in the stream
 * @param appendedAt when the log service stored it, by its clock
 * @param payload bytes as appended; must not be modified
 */
public record LogRecord(long offset, Instant appendedAt, byte[] payload) {}
