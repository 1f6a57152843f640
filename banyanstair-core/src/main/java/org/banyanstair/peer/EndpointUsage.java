package org.banyanstair.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;

/**
 * What the requests of one host use at one endpoint.
 *
 * @param running requests that were sent and have not ended
 * @param waitingTokens prompt tokens of those without a first output
 * @param cacheTokens tokens of memory that all of them need
 * @param adapters adapters of those requests, one entry a request
 * @param newPrefixes hashes of prompt prefixes that were sent there since the last message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointUsage(
        EndpointId endpoint,
        int running,
        int waitingTokens,
        int cacheTokens,
        List<AdapterName> adapters,
        List<Long> newPrefixes) {
    /** Copies the lists. */
    public EndpointUsage {
        adapters = List.copyOf(adapters);
        newPrefixes = List.copyOf(newPrefixes);
    }
}
