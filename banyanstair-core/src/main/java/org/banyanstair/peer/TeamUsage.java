package org.banyanstair.peer;

import java.util.OptionalDouble;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.teams.TeamName;

/**
 * What a host has admitted for a team since its start; all counts are in units of the team's allotment.
 *
 * @param admitted units charged; never decreases
 * @param refunded units given back for requests that did not run; never decreases
 * @param requested units that were asked for, admitted or not; never decreases
 * @param largest units of the largest recent request
 * @param level units left for all hosts as far as the sender knows, negative for a debt; empty while it does not know
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TeamUsage(
        TeamName team, long admitted, long refunded, long requested, long largest, OptionalDouble level) {
    /** Returns the units admitted and not given back. */
    public long net() {
        return admitted - refunded;
    }
}
