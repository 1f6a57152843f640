package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A prompt part whose requests are refused because they crash endpoints.
 *
 * @param part id of the part
 * @param firstCrashAgeMilliseconds time since the first of the crashes; output after it would exonerate the part
 * @param remainingMilliseconds time until requests with the part are admitted again
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RefusedPart(long part, long firstCrashAgeMilliseconds, long remainingMilliseconds) {}
