package org.banyanstair.idempotency;

import java.time.Instant;

import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.model.HostIdentity;

/** State of an idempotency key according to the log. */
public sealed interface CallState {
    /** No attempt holds the key. */
    record Free() implements CallState {}

    /**
     * An attempt holds the key; its writer may have dispatched it.
     *
     * @param writer the only daemon incarnation that may dispatch it
     * @param bodyDigest digest of the call, to detect a key that is reused for another call
     */
    record Held(AttemptId attempt, HostIdentity writer, String bodyDigest, Instant deadline) implements CallState {}

    /** The service answered. */
    record Answered(AttemptId attempt, String bodyDigest, ServiceAnswer answer) implements CallState {}

    /** The outcome is permanently unknown. */
    record OutcomeUnknown(AttemptId attempt, String bodyDigest) implements CallState {}
}
