package org.banyanstair.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;

/**
 * Resources of an endpoint used by the requests of one host.
 *
 * @param running number of requests that were sent and have not ended
 * @param waitingTokens prompt tokens of the requests without output so far
 * @param cacheTokens cache memory required by all of these requests, in tokens
 * @param adapters adapter of each of these requests
 * @param newPrefixes hashes of the prompt prefixes sent to the endpoint since the last report
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
