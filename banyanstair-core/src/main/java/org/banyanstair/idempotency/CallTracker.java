package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.CallRequest;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/**
 * Tracks the non-idempotent calls of the callers of this host: submits each call to the writer of its partition and
 * answers the caller.
 *
 * <p>A call is answered as not run only when every attempt that was ever submitted for it is known to be dead. Not
 * thread-safe.
 */
public final class CallTracker {
    private final Membership membership;
    private final ReducerSettings settings;
    private final Sequence sequence;
    private final Map<RequestId, TrackedCall> calls = new LinkedHashMap<>();
    private final Map<AttemptId, TrackedCall> attempts = new HashMap<>();

    private static final class TrackedCall {
        private final CallRequest request;
        private final CallKey key;
        private final Set<AttemptId> unresolvedAttempts = new HashSet<>();
        private Optional<AttemptId> currentAttempt = Optional.empty();
        private Optional<HostId> writer = Optional.empty();
        private final Map<AttemptId, HostIdentity> writerIncarnations = new HashMap<>();
        private Instant retryAt = Instant.MIN;

        TrackedCall(CallRequest request, CallKey key) {
            this.request = request;
            this.key = key;
        }

        RequestId id() {
            return request.call().requestId();
        }

        Instant deadline() {
            return request.call().deadline();
        }
    }

    /** Creates a tracker without calls. */
    public CallTracker(Membership membership, ReducerSettings settings, Sequence sequence) {
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
    }

    /** Returns the number of calls without an answer. */
    public int inFlight() {
        return calls.size();
    }

    /** Submits a call that has arrived from a caller. */
    public void callArrived(CallRequest request, CallKey key, Instant now, Effects effects) {
        TrackedCall call = new TrackedCall(request, key);
        calls.put(call.id(), call);
        submit(call, now, effects);
    }

    private void submit(TrackedCall call, Instant now, Effects effects) {
        Optional<HostId> writer =
                RendezvousHash.first(LogStreams.callStream(call.key.partition()), membership.availableHosts());
        if (writer.isEmpty()) {
            return;
        }
        if (call.currentAttempt.isEmpty() || !writer.equals(call.writer) || hasWriterRestarted(call)) {
            AttemptId attempt = new AttemptId(membership.self() + "-" + sequence.next());
            call.currentAttempt = Optional.of(attempt);
            call.writer = writer;
            attempts.put(attempt, call);
            membership
                    .latestIncarnation(writer.get())
                    .ifPresent(identity -> call.writerIncarnations.put(attempt, identity));
        }
        send(call, now, effects);
    }

    private void send(TrackedCall call, Instant now, Effects effects) {
        AttemptId attempt = call.currentAttempt.orElseThrow();
        Set<AttemptId> voided = new HashSet<>(call.unresolvedAttempts);
        voided.remove(attempt);
        call.unresolvedAttempts.add(attempt);
        call.retryAt = now.plus(settings.retryInterval());
        effects.send(
                call.writer.orElseThrow(),
                new PeerMessage.CallSubmit(
                        attempt,
                        call.key,
                        call.request.bodyDigest(),
                        call.request.pool(),
                        call.request.call(),
                        voided,
                        Optional.ofNullable(call.writerIncarnations.get(attempt))));
    }

    /** Handles the answer of a writer. */
    public void outcomeReceived(HostIdentity sender, PeerMessage.CallOutcome outcome, Instant now, Effects effects) {
        TrackedCall call = attempts.get(outcome.attempt());
        if (call == null) {
            return;
        }
        if (outcome.answer() instanceof CallAnswer.NotRun notRun) {
            notRunReceived(call, sender, outcome, notRun, now, effects);
        } else if (outcome.answer() instanceof CallAnswer.Answered) {
            answer(call, outcome.answer(), effects);
        } else if (isCurrent(call, outcome.attempt())) {
            answer(call, outcome.answer(), effects);
        }
    }

    private static boolean isCurrent(TrackedCall call, AttemptId attempt) {
        return call.currentAttempt.filter(attempt::equals).isPresent();
    }

    private void notRunReceived(
            TrackedCall call,
            HostIdentity sender,
            PeerMessage.CallOutcome outcome,
            CallAnswer.NotRun notRun,
            Instant now,
            Effects effects) {
        // An attempt without a writer incarnation may have reached several incarnations; one cannot answer for the
        // others.
        if (sender.equals(call.writerIncarnations.get(outcome.attempt()))) {
            call.unresolvedAttempts.remove(outcome.attempt());
        }
        boolean isCurrent = isCurrent(call, outcome.attempt());
        if (isCurrent && outcome.voidsRecorded()) {
            call.unresolvedAttempts.retainAll(Set.of(outcome.attempt()));
        }
        if (!isCurrent) {
            return;
        }
        if (call.unresolvedAttempts.isEmpty()) {
            answer(call, notRun, effects);
        } else {
            call.currentAttempt = Optional.empty();
            call.retryAt = now.plus(settings.retryInterval());
        }
    }

    private void answer(TrackedCall call, CallAnswer answer, Effects effects) {
        calls.remove(call.id());
        attempts.values().removeIf(each -> each == call);
        effects.add(new Effect.AnswerCall(call.id(), answer));
    }

    /** Retries submissions, moves them to other writers, and answers calls whose deadline has passed. */
    public void tick(Instant now, Effects effects) {
        for (TrackedCall call : List.copyOf(calls.values())) {
            if (!now.isBefore(call.deadline().plus(settings.answerGracePeriod()))) {
                answer(call, answerAfterDeadline(call), effects);
            } else if (needsNewWriter(call) || !now.isBefore(call.retryAt)) {
                resubmit(call, now, effects);
            }
        }
    }

    private boolean needsNewWriter(TrackedCall call) {
        return call.currentAttempt.isPresent() && !isWriterAvailable(call);
    }

    private boolean isWriterAvailable(TrackedCall call) {
        return call.currentAttempt.isPresent()
                && call.writer.filter(membership::isAvailable).isPresent()
                && !hasWriterRestarted(call);
    }

    private boolean hasWriterRestarted(TrackedCall call) {
        return call.currentAttempt
                .map(call.writerIncarnations::get)
                .filter(membership::isSuperseded)
                .isPresent();
    }

    private void resubmit(TrackedCall call, Instant now, Effects effects) {
        if (!now.isBefore(call.deadline())) {
            return;
        }
        if (isWriterAvailable(call)) {
            send(call, now, effects);
        } else {
            submit(call, now, effects);
        }
    }

    private static CallAnswer answerAfterDeadline(TrackedCall call) {
        return call.unresolvedAttempts.isEmpty()
                ? new CallAnswer.NotRun(new Failure.WriterUnavailable(call.key.partition()))
                : new CallAnswer.Unknown(new Failure.OutcomeUnknown());
    }
}
