package org.banyanstair.idempotency;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.model.HostIdentity;

/** A record of a stream of non-idempotent calls. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface CallRecord extends LogEntry {
    /** Returns the idempotency key of the attempt. */
    CallKey key();

    /** Returns the attempt that the record describes. */
    AttemptId attempt();

    /** Announces that the writer dispatches the attempt if this intent is the first in log order to acquire the key. */
    record Intent(CallKey key, AttemptId attempt, HostIdentity writer, String bodyDigest, Instant deadline)
            implements CallRecord {}

    /** Prevents the attempt from being executed, unless it already holds the key. */
    record Void(CallKey key, AttemptId attempt) implements CallRecord {}

    /** Releases the key: the writer did not dispatch the attempt and never will. */
    record NotRun(CallKey key, AttemptId attempt) implements CallRecord {}

    /** The service answered the attempt. */
    record Result(CallKey key, AttemptId attempt, ServiceAnswer answer) implements CallRecord {}

    /** The outcome of the attempt is permanently unknown. */
    record Unknown(CallKey key, AttemptId attempt) implements CallRecord {}
}
