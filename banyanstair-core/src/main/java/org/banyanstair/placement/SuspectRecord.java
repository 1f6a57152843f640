package org.banyanstair.placement;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;

/** A record in the {@code suspects} log stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface SuspectRecord extends LogEntry {
    /**
     * An endpoint crashed while it ran the requests with these fingerprints.
     *
     * @param prompts shared prompt parts of the requests without output; null stands for none
     */
    record Crash(EndpointId endpoint, long incarnation, List<Fingerprint> running, List<List<Long>> prompts)
            implements SuspectRecord {
        /** Copies the lists, and replaces what a record of an earlier release does not have. */
        public Crash {
            running = List.copyOf(running);
            prompts = prompts == null ? List.of() : List.copyOf(prompts);
        }
    }

    /** A request with this fingerprint completed. */
    record Cleared(Fingerprint fingerprint) implements SuspectRecord {}

    /** Requests with this prompt part are refused, because they crash endpoints. */
    record PartRefused(long part, int crashes) implements SuspectRecord {}

    /** An endpoint produced output for a request with a part that was refused. */
    record PartCleared(long part) implements SuspectRecord {}
}
