package org.banyanstair.placement;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;

/** A record in the {@code suspects} log stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface SuspectRecord extends LogEntry {
    /** An endpoint crashed while it ran the requests with these fingerprints. */
    record Crash(EndpointId endpoint, long incarnation, List<Fingerprint> running) implements SuspectRecord {
        /** Copies the list. */
        public Crash {
            running = List.copyOf(running);
        }
    }

    /** A request with this fingerprint completed. */
    record Cleared(Fingerprint fingerprint) implements SuspectRecord {}
}
