package org.banyanstair.crashes;

import java.time.Instant;

/**
 * A prompt part whose requests are refused because they crash endpoints.
 *
 * @param part id of the part
 * @param crashes crashes that led to the refusal; 0 if another host decided
 * @param firstCrashAt the first of them; output for the part after it would exonerate the part
 * @param expiresAt when requests with the part are admitted again
 */
public record PartRefusal(long part, int crashes, Instant firstCrashAt, Instant expiresAt) {}
