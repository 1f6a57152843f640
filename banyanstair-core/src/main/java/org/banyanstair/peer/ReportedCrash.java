package org.banyanstair.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.EndpointId;

/**
 * A crash of an endpoint while it ran a request.
 *
 * @param started start time of the endpoint's process, as in its topic entry
 * @param ageMilliseconds time since the crash
 * @param cleared whether an endpoint has completed the request since
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportedCrash(EndpointId endpoint, long started, long ageMilliseconds, boolean cleared) {}
