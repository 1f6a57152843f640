package org.banyanstair.peer;

import java.util.OptionalDouble;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.EndpointId;

/**
 * The newest response of an endpoint that named, or no longer named, a limit of the requests of all hosts.
 *
 * @param started start time of the endpoint's process, as in its topic entry
 * @param perSecond the limit in requests a second; empty if the endpoint no longer names one
 * @param ageMilliseconds time since the response
 * @param demandPerSecond requests a second that the sender would send to the endpoint's service
 * @param lends whether the sender answers a {@link PeerMessage.LoanRequest}; a host of an earlier release does not
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ReportedLimit(
        EndpointId endpoint,
        long started,
        OptionalDouble perSecond,
        long ageMilliseconds,
        double demandPerSecond,
        boolean lends) {}
