package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.idempotency.SubmittedCall.Stage;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.banyanstair.routing.EndpointPicker;

/**
 * Appends the intents of one call partition to the log and dispatches the attempts that acquire their key.
 *
 * <p>An attempt is dispatched only after this host has read its intent back from the log and found that it holds the
 * key. This resolves both lost append responses and races between writers. An attempt is marked dead in memory before
 * it is reported as not run; since no other host may dispatch it, it can never be executed. Not thread-safe.
 */
public final class CallWriter {
    /** Larger answers are not stored in the log; a repeated request then gets an unknown outcome. */
    static final int MAXIMUM_RECORDED_BODY_BYTES = 64 * 1024;

    private final int partition;
    private final Membership membership;
    private final ReducerSettings settings;
    private final Sequence sequence;
    private final EndpointPicker picker;
    private final CallStateTable states;
    private final Map<AttemptId, SubmittedCall> calls = new LinkedHashMap<>();
    private final PendingCalls pendingCalls = new PendingCalls();
    private final Map<Long, AttemptId> dispatches = new HashMap<>();
    private final PartitionAppender appender;
    private Instant nextRetry = Instant.MIN;

    /** Creates the writer of a partition. */
    public CallWriter(int partition, Membership membership, ReducerSettings settings, Sequence sequence) {
        this.partition = partition;
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
        this.picker = new EndpointPicker(membership);
        this.states = new CallStateTable(settings.keyRetention());
        this.appender = new PartitionAppender(partition, membership.self(), settings.callBatchDelay(), sequence);
    }

    /** Returns the states of the keys of the partition; read-only. */
    public CallStateTable states() {
        return states;
    }

    /**
     * Returns whether this writer has unfinished work and must keep reading the stream.
     *
     * @return true while an attempt waits for the log or an endpoint, or an outcome is not confirmed by the log
     */
    public boolean isBusy() {
        return appender.hasUnconfirmedOutcomes() || !pendingCalls.isEmpty();
    }

    /** Skips a record that could not be decoded. */
    public void skip(long offset) {
        states.skip(offset);
    }

    /** Accepts an attempt submitted by an entry host. */
    public void submit(HostId submitter, PeerMessage.CallSubmit submit, Instant now, Effects effects) {
        if (submit.writer().filter(writer -> !writer.equals(membership.self())).isPresent()) {
            return;
        }
        SubmittedCall known = calls.get(submit.attempt());
        if (known != null) {
            known.setSubmitter(submitter);
            Optional.ofNullable(known.answer()).ifPresent(answer -> reply(known, effects));
            return;
        }
        if (isRetentionOver(submit, now)) {
            // The attempt may have been executed and then evicted, so it must not be answered as not run.
            return;
        }
        SubmittedCall call = new SubmittedCall(submit, submitter);
        calls.put(submit.attempt(), call);
        pendingCalls.add(call);
        if (!now.isBefore(submit.call().deadline())) {
            refuse(call, new Failure.DeadlinePassed(submit.call().deadline()), effects);
        } else if (states.isDead(submit.key(), submit.attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
        } else {
            joinOrQueue(call, now, effects);
        }
    }

    private void joinOrQueue(SubmittedCall call, Instant now, Effects effects) {
        if (answerFromState(call, effects)) {
            return;
        }
        // A second intent would lose against the one that is being appended.
        boolean joins = pendingCalls.isKeyPending(call) && call.voidsRecorded();
        if (joins || states.state(call.submit().key()) instanceof CallState.Held) {
            call.moveTo(Stage.JOINED);
            return;
        }
        appender.schedule(now);
    }

    /** Answers the call if the state of its key already determines the answer. */
    private boolean answerFromState(SubmittedCall call, Effects effects) {
        CallState state = states.state(call.submit().key());
        if (state instanceof CallState.Answered answered) {
            answerFromResult(call, answered, effects);
            return true;
        }
        if (state instanceof CallState.OutcomeUnknown unknown) {
            if (unknown.bodyDigest().equals(call.submit().bodyDigest())) {
                complete(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
            } else {
                refuseReused(call, effects);
            }
            return true;
        }
        if (state instanceof CallState.Held held
                && !held.bodyDigest().equals(call.submit().bodyDigest())) {
            complete(call, new CallAnswer.NotRun(keyReused(call)), effects);
            return true;
        }
        return false;
    }

    private void answerFromResult(SubmittedCall call, CallState.Answered answered, Effects effects) {
        if (!answered.bodyDigest().equals(call.submit().bodyDigest())) {
            refuseReused(call, effects);
            return;
        }
        boolean repeated = !answered.attempt().equals(call.submit().attempt());
        complete(call, new CallAnswer.Answered(answered.answer(), repeated), effects);
    }

    /** A key in a final state is never acquired again, so no earlier attempt of the refused request can run either. */
    private void refuseReused(SubmittedCall call, Effects effects) {
        call.markVoidsRecorded();
        complete(call, new CallAnswer.NotRun(keyReused(call)), effects);
    }

    private static Failure keyReused(SubmittedCall call) {
        return new Failure.IdempotencyKeyReused(call.submit().key().key());
    }

    /** Applies a record of the partition's stream. */
    public void read(long offset, Instant appendedAt, CallRecord record, Instant now, Effects effects) {
        if (!states.apply(offset, appendedAt, record)) {
            return;
        }
        appender.read(record);
        SubmittedCall call = calls.get(record.attempt());
        if (record instanceof CallRecord.Intent intent && intent.writer().equals(membership.self())) {
            ownIntentRead(intent, Optional.ofNullable(call), now, effects);
        }
        if (record instanceof CallRecord.Void) {
            refuseVoided(record, effects);
        }
        resumeJoined(record.key(), now, effects);
    }

    private void ownIntentRead(CallRecord.Intent intent, Optional<SubmittedCall> call, Instant now, Effects effects) {
        if (call.isPresent()) {
            intentRead(call.get(), now, effects);
        } else if (isHeldByThisWriter(intent.key(), intent.attempt())) {
            // The append took effect after the attempt was refused and evicted; no other host releases the key.
            appender.addOutcome(new CallRecord.NotRun(intent.key(), intent.attempt()), now);
        }
    }

    /** An earlier incarnation of this daemon may hold the key with the same attempt and may have dispatched it. */
    private boolean isHeldByThisWriter(CallKey key, AttemptId attempt) {
        return states.state(key) instanceof CallState.Held held
                && held.attempt().equals(attempt)
                && held.writer().equals(membership.self());
    }

    private void intentRead(SubmittedCall call, Instant now, Effects effects) {
        PeerMessage.CallSubmit submit = call.submit();
        boolean allVoided = submit.voided().stream().allMatch(attempt -> states.isDead(submit.key(), attempt));
        if (allVoided) {
            call.markVoidsRecorded();
        }
        boolean holdsKey = isHeldByThisWriter(submit.key(), submit.attempt());
        if (call.stage() == Stage.DEAD || call.stage() == Stage.ANSWERED) {
            if (holdsKey) {
                appender.addOutcome(new CallRecord.NotRun(submit.key(), submit.attempt()), now);
            }
        } else if (!holdsKey) {
            call.moveTo(Stage.JOINED);
        } else if (!now.isBefore(submit.call().deadline())) {
            abort(call, new Failure.DeadlinePassed(submit.call().deadline()), now, effects);
        } else {
            dispatch(call, now, effects);
        }
    }

    private void refuseVoided(CallRecord record, Effects effects) {
        SubmittedCall call = calls.get(record.attempt());
        boolean isWaiting = call != null && (call.stage() == Stage.QUEUED || call.stage() == Stage.APPENDED);
        if (isWaiting && states.isDead(record.key(), record.attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
        }
    }

    private void dispatch(SubmittedCall call, Instant now, Effects effects) {
        Optional<Endpoint> endpoint =
                picker.pick(call.submit().pool(), call.submit().call().requestId(), List.of());
        if (endpoint.isEmpty()) {
            abort(call, new Failure.NoEndpoint(call.submit().pool()), now, effects);
            return;
        }
        call.moveTo(Stage.DISPATCHED);
        call.countDispatch();
        long dispatchId = sequence.next();
        dispatches.put(dispatchId, call.submit().attempt());
        picker.recordStart(dispatchId, endpoint.get().id());
        effects.add(new Effect.DispatchCall(
                dispatchId, endpoint.get(), call.submit().call()));
    }

    /**
     * Handles the result of a dispatch.
     *
     * @return false if this writer did not start the dispatch
     */
    public boolean dispatchEnded(long dispatchId, ServiceCallResult result, Instant now, Effects effects) {
        AttemptId attempt = dispatches.remove(dispatchId);
        if (attempt == null) {
            return false;
        }
        picker.recordEnd(dispatchId);
        SubmittedCall call = calls.get(attempt);
        CallKey key = call.submit().key();
        if (result instanceof ServiceCallResult.Answered answered) {
            appender.addOutcome(outcomeRecord(key, attempt, answered.answer()), now);
            complete(call, new CallAnswer.Answered(answered.answer(), false), effects);
        } else if (result instanceof ServiceCallResult.NotSent notSent) {
            retryDispatch(call, notSent.failure(), now, effects);
        } else if (result instanceof ServiceCallResult.OutcomeUnknown) {
            appender.addOutcome(new CallRecord.Unknown(key, attempt), now);
            complete(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
        }
        resumeJoined(key, now, effects);
        return true;
    }

    private static CallRecord outcomeRecord(CallKey key, AttemptId attempt, ServiceAnswer answer) {
        return answer.body().length <= MAXIMUM_RECORDED_BODY_BYTES
                ? new CallRecord.Result(key, attempt, answer)
                : new CallRecord.Unknown(key, attempt);
    }

    /** Nothing was sent, so the same attempt may be dispatched to another endpoint. */
    private void retryDispatch(SubmittedCall call, Failure failure, Instant now, Effects effects) {
        boolean expired = !now.isBefore(call.submit().call().deadline());
        if (expired || call.dispatches() >= settings.maximumDispatches()) {
            abort(call, failure, now, effects);
        } else {
            dispatch(call, now, effects);
        }
    }

    /** Marks an attempt that holds its key as dead, releases the key in the log, and answers the call as not run. */
    private void abort(SubmittedCall call, Failure failure, Instant now, Effects effects) {
        appender.addOutcome(
                new CallRecord.NotRun(call.submit().key(), call.submit().attempt()), now);
        refuse(call, failure, effects);
    }

    private void refuse(SubmittedCall call, Failure failure, Effects effects) {
        call.moveTo(Stage.DEAD);
        complete(call, new CallAnswer.NotRun(failure), effects);
    }

    private void complete(SubmittedCall call, CallAnswer answer, Effects effects) {
        call.answer(answer);
        pendingCalls.remove(call);
        reply(call, effects);
    }

    private static void reply(SubmittedCall call, Effects effects) {
        effects.send(
                call.submitter(),
                new PeerMessage.CallOutcome(call.submit().attempt(), call.answer(), call.voidsRecorded()));
    }

    private void resumeJoined(CallKey key, Instant now, Effects effects) {
        for (SubmittedCall call : pendingCalls.joined(key)) {
            if (!answerFromState(call, effects)) {
                requeue(call, now, effects);
            }
        }
    }

    /** Once the key is free again, a joined attempt whose intent is not in the log is queued itself. */
    private void requeue(SubmittedCall call, Instant now, Effects effects) {
        if (!(states.state(call.submit().key()) instanceof CallState.Free) || pendingCalls.isKeyPending(call)) {
            return;
        }
        if (states.isDead(call.submit().key(), call.submit().attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
            return;
        }
        call.moveTo(Stage.QUEUED);
        appender.schedule(now);
    }

    /** Appends the batch that is due, answers expired calls, and appends unconfirmed outcomes again. */
    public void tick(Instant now, Effects effects) {
        if (appender.isDue(now)) {
            appender.append(pendingCalls.queued(), effects);
        }
        expireCalls(now, effects);
        resolveAbandoned(now, effects);
        if (!now.isBefore(nextRetry)) {
            nextRetry = now.plus(settings.retryInterval());
            appender.resendOutcomes(effects);
            evictAnswered(now);
            states.expire(now);
        }
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long appendId, Failure failure, Effects effects) {
        List<SubmittedCall> batch = appender.removeAppend(appendId);
        for (SubmittedCall call : batch) {
            if (call.stage() == Stage.APPENDED) {
                refuse(call, failure, effects);
                refuseJoined(call.submit().key(), failure, effects);
            }
        }
    }

    /** The attempt that these calls wait for has no record in the log, and their own appends would fail as well. */
    private void refuseJoined(CallKey key, Failure failure, Effects effects) {
        if (states.state(key) instanceof CallState.Free) {
            pendingCalls.joined(key).stream()
                    .filter(call -> !pendingCalls.isKeyPending(call))
                    .forEach(call -> refuse(call, failure, effects));
        }
    }

    /** Handles an append that the log stored or may have stored. */
    public void appendEnded(long appendId) {
        appender.removeAppend(appendId);
    }

    private void expireCalls(Instant now, Effects effects) {
        for (SubmittedCall call : pendingCalls.all()) {
            if (now.isBefore(call.submit().call().deadline())) {
                continue;
            }
            if (call.stage() == Stage.QUEUED || call.stage() == Stage.APPENDED) {
                refuse(call, new Failure.DeadlinePassed(call.submit().call().deadline()), effects);
                resumeJoined(call.submit().key(), now, effects);
            } else if (call.stage() == Stage.JOINED) {
                expireJoined(call, effects);
            }
        }
    }

    private void expireJoined(SubmittedCall call, Effects effects) {
        boolean held = states.state(call.submit().key()) instanceof CallState.Held;
        if (held) {
            complete(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
        } else {
            refuse(call, new Failure.DeadlinePassed(call.submit().call().deadline()), effects);
        }
    }

    /** If the daemon that holds a key has terminated, no host can determine whether the call was dispatched. */
    private void resolveAbandoned(Instant now, Effects effects) {
        for (SubmittedCall call : pendingCalls.all()) {
            if (call.stage() != Stage.JOINED || !(states.state(call.submit().key()) instanceof CallState.Held held)) {
                continue;
            }
            if (isAbandoned(held.writer())) {
                appender.addOutcome(new CallRecord.Unknown(call.submit().key(), held.attempt()), now);
                complete(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
            }
        }
    }

    private boolean isAbandoned(HostIdentity writer) {
        return !writer.equals(membership.self()) && membership.isTerminated(writer);
    }

    private void evictAnswered(Instant now) {
        calls.values()
                .removeIf(call -> call.answer() != null
                        && isRetentionOver(call.submit(), now)
                        && !appender.isOutcomeUnconfirmed(call.submit().attempt()));
    }

    private boolean isRetentionOver(PeerMessage.CallSubmit submit, Instant now) {
        return submit.call().deadline().plus(settings.attemptRetention()).isBefore(now);
    }
}
