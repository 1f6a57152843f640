package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;

/**
 * An attempt that ended on an endpoint which may have crashed under it.
 *
 * @param started start time of the endpoint's process, as in its topic entry
 * @param outputAt when the caller's first output arrived; empty if there was none
 * @param expiresAt when a crash of the endpoint no longer concerns the attempt
 */
record CrashSuspicion(
        ForwardRequest request,
        EndpointId endpoint,
        long started,
        Instant sentAt,
        Optional<Instant> outputAt,
        Instant endedAt,
        Ending ending,
        Instant expiresAt) {
    /** Output shortly before a crash does not clear a request, since a runner may send its first output as it fails. */
    private static final Duration FIRST_OUTPUT_DOUBT = Duration.ofMillis(300);

    /** How an attempt ended. */
    enum Ending {
        /** The connection ended or carried something else than an answer. */
        BROKEN,
        /** The endpoint answered that it failed. */
        FAILED,
        /** The host no longer waited for an answer. */
        ABANDONED
    }

    /** Returns the prompt parts that may have caused the crash. */
    List<Long> suspectedParts() {
        boolean hadOutput = outputAt.filter(at -> endedAt.isAfter(at.plus(FIRST_OUTPUT_DOUBT)))
                .isPresent();
        return hadOutput || ending == Ending.ABANDONED ? List.of() : request.sharedParts();
    }

    /** Returns whether a request is the same or shares a wider fingerprint. */
    boolean isFor(ForwardRequest other) {
        return request.fingerprint() == other.fingerprint()
                || !Collections.disjoint(request.widerFingerprints(), other.widerFingerprints());
    }
}
