package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A prompt part of a crashed endpoint's requests for which other requests have produced output since the crash.
 *
 * @param part id of the part
 * @param ageMilliseconds time since the output
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ObservedPart(long part, long ageMilliseconds) {}
