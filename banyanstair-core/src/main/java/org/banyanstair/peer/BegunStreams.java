package org.banyanstair.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Streams that the sender has passed on, so that the receiver can tell which software version began them.
 *
 * @param version software version of the endpoints that began them
 * @param requests ids of the callers' attempts that brought the first event of each stream
 * @param remainingMilliseconds time after which no caller waits for the rest of any of them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BegunStreams(String service, String version, List<String> requests, long remainingMilliseconds) {
    /** Copies the list. */
    public BegunStreams {
        requests = List.copyOf(requests);
    }
}
