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
    private final CallStateTable ledger;
    private final Map<AttemptId, SubmittedCall> calls = new LinkedHashMap<>();
    private final OpenCalls open = new OpenCalls();
    private final Map<Long, AttemptId> dispatches = new HashMap<>();
    private final PartitionAppender appender;
    private Instant nextRepeat = Instant.MIN;

    /** Creates the writer of a partition. */
    public CallWriter(int partition, Membership membership, ReducerSettings settings, Sequence sequence) {
        this.partition = partition;
        this.membership = membership;
        this.settings = settings;
        this.sequence = sequence;
        this.picker = new EndpointPicker(membership);
        this.ledger = new CallStateTable(settings.keyRetention());
        this.appender = new PartitionAppender(partition, membership.self(), settings.callBatchDelay(), sequence);
    }

    /** Returns the states of the keys of the partition; read-only. */
    public CallStateTable ledger() {
        return ledger;
    }

    /**
     * Returns whether this writer has unfinished work and must keep reading the stream.
     *
     * @return true while an attempt waits for the log or an endpoint, or an outcome is not confirmed by the log
     */
    public boolean isBusy() {
        return appender.hasUnconfirmedEnds() || !open.isEmpty();
    }

    /** Skips a record that could not be decoded. */
    public void skip(long offset) {
        ledger.skip(offset);
    }

    /** Accepts an attempt submitted by an entry host. */
    public void submit(HostId submitter, PeerMessage.CallSubmit submit, Instant now, Effects effects) {
        if (submit.writer().filter(run -> !run.equals(membership.self())).isPresent()) {
            return;
        }
        SubmittedCall known = calls.get(submit.attempt());
        if (known != null) {
            known.resubmittedBy(submitter);
            Optional.ofNullable(known.answer()).ifPresent(answer -> reply(known, effects));
            return;
        }
        if (isForgettable(submit, now)) {
            // The attempt may have been executed and then evicted, so it must not be answered as not run.
            return;
        }
        SubmittedCall call = new SubmittedCall(submit, submitter);
        calls.put(submit.attempt(), call);
        open.add(call);
        if (!now.isBefore(submit.call().deadline())) {
            refuse(call, new Failure.DeadlinePassed(submit.call().deadline()), effects);
        } else if (ledger.isDead(submit.key(), submit.attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
        } else {
            admit(call, now, effects);
        }
    }

    private void admit(SubmittedCall call, Instant now, Effects effects) {
        if (settle(call, effects)) {
            return;
        }
        // A second intent would lose against the one that is being appended.
        boolean joins = open.isKeyPending(call) && call.voidsRecorded();
        if (joins || ledger.state(call.submit().key()) instanceof CallState.Held) {
            call.moveTo(Stage.JOINED);
            return;
        }
        appender.schedule(now);
    }

    /** Answers the call if the state of its key already determines the answer. */
    private boolean settle(SubmittedCall call, Effects effects) {
        CallState state = ledger.state(call.submit().key());
        if (state instanceof CallState.Answered answered) {
            settleAnswered(call, answered, effects);
            return true;
        }
        if (state instanceof CallState.OutcomeUnknown unknown) {
            if (unknown.bodyDigest().equals(call.submit().bodyDigest())) {
                finish(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
            } else {
                refuseReused(call, effects);
            }
            return true;
        }
        if (state instanceof CallState.Held held
                && !held.bodyDigest().equals(call.submit().bodyDigest())) {
            finish(call, new CallAnswer.NotRun(keyReused(call)), effects);
            return true;
        }
        return false;
    }

    private void settleAnswered(SubmittedCall call, CallState.Answered answered, Effects effects) {
        if (!answered.bodyDigest().equals(call.submit().bodyDigest())) {
            refuseReused(call, effects);
            return;
        }
        boolean repeated = !answered.attempt().equals(call.submit().attempt());
        finish(call, new CallAnswer.Answered(answered.answer(), repeated), effects);
    }

    /** A key in a final state is never acquired again, so no earlier attempt of the refused request can run either. */
    private void refuseReused(SubmittedCall call, Effects effects) {
        call.markVoidsRecorded();
        finish(call, new CallAnswer.NotRun(keyReused(call)), effects);
    }

    private static Failure keyReused(SubmittedCall call) {
        return new Failure.IdempotencyKeyReused(call.submit().key().key());
    }

    /** Applies a record of the partition's stream. */
    public void read(long offset, Instant appendedAt, CallRecord record, Instant now, Effects effects) {
        if (!ledger.apply(offset, appendedAt, record)) {
            return;
        }
        appender.read(record);
        SubmittedCall call = calls.get(record.attempt());
        if (record instanceof CallRecord.Intent intent && intent.writer().equals(membership.self())) {
            ownIntentRead(intent, Optional.ofNullable(call), now, effects);
        }
        if (record instanceof CallRecord.Void) {
            giveUpVoided(record, effects);
        }
        wakeJoined(record.key(), now, effects);
    }

    private void ownIntentRead(CallRecord.Intent intent, Optional<SubmittedCall> call, Instant now, Effects effects) {
        if (call.isPresent()) {
            intentRead(call.get(), now, effects);
        } else if (isHeldHere(intent.key(), intent.attempt())) {
            // The append took effect after the attempt was refused and evicted; no other host releases the key.
            appender.end(new CallRecord.NotRun(intent.key(), intent.attempt()), now);
        }
    }

    /** An earlier incarnation of this daemon may hold the key with the same attempt and may have dispatched it. */
    private boolean isHeldHere(CallKey key, AttemptId attempt) {
        return ledger.state(key) instanceof CallState.Held held
                && held.attempt().equals(attempt)
                && held.writer().equals(membership.self());
    }

    private void intentRead(SubmittedCall call, Instant now, Effects effects) {
        PeerMessage.CallSubmit submit = call.submit();
        boolean voided = submit.voided().stream().allMatch(attempt -> ledger.isDead(submit.key(), attempt));
        if (voided) {
            call.markVoidsRecorded();
        }
        boolean holds = isHeldHere(submit.key(), submit.attempt());
        if (call.stage() == Stage.DEAD || call.stage() == Stage.ANSWERED) {
            if (holds) {
                appender.end(new CallRecord.NotRun(submit.key(), submit.attempt()), now);
            }
        } else if (!holds) {
            call.moveTo(Stage.JOINED);
        } else if (!now.isBefore(submit.call().deadline())) {
            giveUp(call, new Failure.DeadlinePassed(submit.call().deadline()), now, effects);
        } else {
            dispatch(call, now, effects);
        }
    }

    private void giveUpVoided(CallRecord record, Effects effects) {
        SubmittedCall call = calls.get(record.attempt());
        boolean waits = call != null && (call.stage() == Stage.QUEUED || call.stage() == Stage.APPENDED);
        if (waits && ledger.isDead(record.key(), record.attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
        }
    }

    private void dispatch(SubmittedCall call, Instant now, Effects effects) {
        Optional<Endpoint> endpoint =
                picker.pick(call.submit().pool(), call.submit().call().requestId(), List.of());
        if (endpoint.isEmpty()) {
            giveUp(call, new Failure.NoEndpoint(call.submit().pool()), now, effects);
            return;
        }
        call.moveTo(Stage.DISPATCHED);
        call.countDispatch();
        long dispatch = sequence.next();
        dispatches.put(dispatch, call.submit().attempt());
        picker.recordStart(dispatch, endpoint.get().id());
        effects.add(
                new Effect.DispatchCall(dispatch, endpoint.get(), call.submit().call()));
    }

    /**
     * Handles the result of a dispatch.
     *
     * @return false if this writer did not start the dispatch
     */
    public boolean dispatchEnded(long dispatch, ServiceCallResult result, Instant now, Effects effects) {
        AttemptId attempt = dispatches.remove(dispatch);
        if (attempt == null) {
            return false;
        }
        picker.recordEnd(dispatch);
        SubmittedCall call = calls.get(attempt);
        CallKey key = call.submit().key();
        if (result instanceof ServiceCallResult.Answered answered) {
            appender.end(endRecord(key, attempt, answered.answer()), now);
            finish(call, new CallAnswer.Answered(answered.answer(), false), effects);
        } else if (result instanceof ServiceCallResult.NotSent notSent) {
            dispatchAgain(call, notSent.failure(), now, effects);
        } else if (result instanceof ServiceCallResult.OutcomeUnknown) {
            appender.end(new CallRecord.Unknown(key, attempt), now);
            finish(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
        }
        wakeJoined(key, now, effects);
        return true;
    }

    private static CallRecord endRecord(CallKey key, AttemptId attempt, ServiceAnswer answer) {
        return answer.body().length <= MAXIMUM_RECORDED_BODY_BYTES
                ? new CallRecord.Result(key, attempt, answer)
                : new CallRecord.Unknown(key, attempt);
    }

    /** Nothing was sent, so the same attempt may be dispatched to another endpoint. */
    private void dispatchAgain(SubmittedCall call, Failure failure, Instant now, Effects effects) {
        boolean late = !now.isBefore(call.submit().call().deadline());
        if (late || call.dispatches() >= settings.maximumDispatches()) {
            giveUp(call, failure, now, effects);
        } else {
            dispatch(call, now, effects);
        }
    }

    /** Marks an attempt that holds its key as dead, releases the key in the log, and answers the call as not run. */
    private void giveUp(SubmittedCall call, Failure failure, Instant now, Effects effects) {
        appender.end(new CallRecord.NotRun(call.submit().key(), call.submit().attempt()), now);
        refuse(call, failure, effects);
    }

    private void refuse(SubmittedCall call, Failure failure, Effects effects) {
        call.moveTo(Stage.DEAD);
        finish(call, new CallAnswer.NotRun(failure), effects);
    }

    private void finish(SubmittedCall call, CallAnswer answer, Effects effects) {
        call.answer(answer);
        open.remove(call);
        reply(call, effects);
    }

    private static void reply(SubmittedCall call, Effects effects) {
        effects.send(
                call.submitter(),
                new PeerMessage.CallOutcome(call.submit().attempt(), call.answer(), call.voidsRecorded()));
    }

    private void wakeJoined(CallKey key, Instant now, Effects effects) {
        for (SubmittedCall call : open.joined(key)) {
            if (!settle(call, effects)) {
                requeue(call, now, effects);
            }
        }
    }

    /** Once the key is free again, a joined attempt whose intent is not in the log is queued itself. */
    private void requeue(SubmittedCall call, Instant now, Effects effects) {
        if (!(ledger.state(call.submit().key()) instanceof CallState.Free) || open.isKeyPending(call)) {
            return;
        }
        if (ledger.isDead(call.submit().key(), call.submit().attempt())) {
            refuse(call, new Failure.WriterUnavailable(partition), effects);
            return;
        }
        call.moveTo(Stage.QUEUED);
        appender.schedule(now);
    }

    /** Appends the batch that is due, answers expired calls, and appends unconfirmed outcomes again. */
    public void tick(Instant now, Effects effects) {
        if (appender.isDue(now)) {
            appender.append(open.queued(), effects);
        }
        endLate(now, effects);
        settleAbandoned(now, effects);
        if (!now.isBefore(nextRepeat)) {
            nextRepeat = now.plus(settings.retryInterval());
            appender.repeatEnds(effects);
            forgetOld(now);
            ledger.expire(now);
        }
    }

    /** Handles an append that the log rejected. */
    public void appendRejected(long append, Failure failure, Effects effects) {
        List<SubmittedCall> batch = appender.ended(append);
        for (SubmittedCall call : batch) {
            if (call.stage() == Stage.APPENDED) {
                refuse(call, failure, effects);
                refuseJoined(call.submit().key(), failure, effects);
            }
        }
    }

    /** The attempt that these calls wait for has no record in the log, and their own appends would fail as well. */
    private void refuseJoined(CallKey key, Failure failure, Effects effects) {
        if (ledger.state(key) instanceof CallState.Free) {
            open.joined(key).stream()
                    .filter(call -> !open.isKeyPending(call))
                    .forEach(call -> refuse(call, failure, effects));
        }
    }

    /** Handles an append that the log stored or may have stored. */
    public void appendEnded(long append) {
        appender.ended(append);
    }

    private void endLate(Instant now, Effects effects) {
        for (SubmittedCall call : open.all()) {
            if (now.isBefore(call.submit().call().deadline())) {
                continue;
            }
            if (call.stage() == Stage.QUEUED || call.stage() == Stage.APPENDED) {
                refuse(call, new Failure.DeadlinePassed(call.submit().call().deadline()), effects);
                wakeJoined(call.submit().key(), now, effects);
            } else if (call.stage() == Stage.JOINED) {
                endLateJoined(call, effects);
            }
        }
    }

    private void endLateJoined(SubmittedCall call, Effects effects) {
        boolean held = ledger.state(call.submit().key()) instanceof CallState.Held;
        if (held) {
            finish(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
        } else {
            refuse(call, new Failure.DeadlinePassed(call.submit().call().deadline()), effects);
        }
    }

    /** If the daemon that holds a key has terminated, no host can determine whether the call was dispatched. */
    private void settleAbandoned(Instant now, Effects effects) {
        for (SubmittedCall call : open.all()) {
            if (call.stage() != Stage.JOINED || !(ledger.state(call.submit().key()) instanceof CallState.Held held)) {
                continue;
            }
            if (isAbandoned(held.writer())) {
                appender.end(new CallRecord.Unknown(call.submit().key(), held.attempt()), now);
                finish(call, new CallAnswer.Unknown(new Failure.OutcomeUnknown()), effects);
            }
        }
    }

    private boolean isAbandoned(HostIdentity writer) {
        return !writer.equals(membership.self()) && membership.isTerminated(writer);
    }

    private void forgetOld(Instant now) {
        calls.values()
                .removeIf(call -> call.answer() != null
                        && isForgettable(call.submit(), now)
                        && !appender.isUnconfirmed(call.submit().attempt()));
    }

    private boolean isForgettable(PeerMessage.CallSubmit submit, Instant now) {
        return submit.call().deadline().plus(settings.attemptRetention()).isBefore(now);
    }
}
