package org.banyanstair.idempotency;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.model.HostIdentity;

/** A record of a stream of non-idempotent calls. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface CallRecord extends LogEntry {
    /**
     * Returns the key that the record is about.
     *
     * @return the key
     */
    CallKey key();

    /**
     * Returns the attempt that the record is about.
     *
     * @return the attempt
     */
    AttemptId attempt();

    /** The writer will dispatch the attempt if this is the first record that holds the key. */
    record Intent(CallKey key, AttemptId attempt, HostIdentity writer, String bodyDigest, Instant deadline)
            implements CallRecord {}

    /** The attempt must not run, unless it holds the key already. */
    record Void(CallKey key, AttemptId attempt) implements CallRecord {}

    /** The writer proved that it did not and will not dispatch the attempt. */
    record NotRun(CallKey key, AttemptId attempt) implements CallRecord {}

    /** The service answered the attempt. */
    record Result(CallKey key, AttemptId attempt, ServiceAnswer answer) implements CallRecord {}

    /** The outcome of the attempt is not known and never will be. */
    record Unknown(CallKey key, AttemptId attempt) implements CallRecord {}
}
