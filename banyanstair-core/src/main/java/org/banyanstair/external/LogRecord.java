package org.banyanstair.external;

import java.time.Instant;

/**
 * One record of a stream.
 *
 * @param offset place in the stream
 * @param appendedAt instant at which the log service took it, by the log service's clock
 * @param payload bytes as appended; not to be changed
 */
public record LogRecord(long offset, Instant appendedAt, byte[] payload) {}
