package org.banyanstair.idempotency;

import java.time.Instant;

import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.model.HostIdentity;

/** What the log says about a key. */
public sealed interface CallState {
    /** No attempt holds the key. */
    record Free() implements CallState {}

    /**
     * An attempt holds the key; its writer may have dispatched it.
     *
     * @param attempt the attempt
     * @param writer the only daemon that may dispatch it
     * @param bodyDigest digest of the call
     * @param deadline deadline of the call
     */
    record Held(AttemptId attempt, HostIdentity writer, String bodyDigest, Instant deadline) implements CallState {}

    /** The service answered. */
    record Answered(AttemptId attempt, String bodyDigest, ServiceAnswer answer) implements CallState {}

    /** The outcome is not known and never will be. */
    record OutcomeUnknown(AttemptId attempt, String bodyDigest) implements CallState {}
}
