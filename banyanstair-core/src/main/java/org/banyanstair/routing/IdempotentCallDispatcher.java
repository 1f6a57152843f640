package org.banyanstair.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.EndpointId;
import org.banyanstair.reducer.CallRequest;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.Sequence;

/**
 * Dispatches idempotent calls to plain services and retries failed ones on other endpoints, within the deadline and the
 * retry budget. Not thread-safe.
 */
public final class IdempotentCallDispatcher {
    /** Divides the remaining time, so that an endpoint that does not answer leaves time for retries on others. */
    private static final int DISPATCHES_IN_REMAINING_TIME = 3;

    private final EndpointPicker picker;
    private final Sequence sequence;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<Long, PendingDispatch> pending = new HashMap<>();

    private record PendingDispatch(CallRequest request, Endpoint endpoint, Set<EndpointId> tried) {}

    /** Creates a dispatcher without calls in flight. */
    public IdempotentCallDispatcher(Membership membership, Sequence sequence) {
        this.picker = new EndpointPicker(membership);
        this.sequence = sequence;
    }

    /** Returns the number of calls in flight. */
    public int inFlight() {
        return pending.size();
    }

    /** Handles a call from a caller. */
    public void callArrived(CallRequest request, Instant now, Effects effects) {
        retryBudget.recordFirstAttempt(now);
        dispatch(request, new HashSet<>(), now, effects);
    }

    private void dispatch(CallRequest request, Set<EndpointId> tried, Instant now, Effects effects) {
        Optional<Endpoint> endpoint = picker.pick(request.pool(), request.call().requestId(), tried);
        if (endpoint.isEmpty()) {
            answer(request, new CallAnswer.NotRun(new Failure.NoEndpoint(request.pool())), effects);
            return;
        }
        long dispatch = sequence.next();
        pending.put(dispatch, new PendingDispatch(request, endpoint.get(), tried));
        picker.recordStart(dispatch, endpoint.get().id());
        effects.add(new Effect.DispatchCall(dispatch, endpoint.get(), withDispatchDeadline(request.call(), now)));
    }

    private static ServiceCall withDispatchDeadline(ServiceCall call, Instant now) {
        Duration remaining = Duration.between(now, call.deadline());
        Instant deadline = now.plus(remaining.dividedBy(DISPATCHES_IN_REMAINING_TIME));
        return new ServiceCall(call.requestId(), call.method(), call.path(), call.contentType(), call.body(), deadline);
    }

    /**
     * Handles the end of a dispatch.
     *
     * @param retryShare maximum retries as a share of calls
     * @return false if the dispatch does not belong to an idempotent call
     */
    public boolean dispatchEnded(
            long dispatch, ServiceCallResult result, double retryShare, Instant now, Effects effects) {
        PendingDispatch ended = pending.remove(dispatch);
        if (ended == null) {
            return false;
        }
        picker.recordEnd(dispatch);
        if (result instanceof ServiceCallResult.Answered answered) {
            answer(ended.request(), new CallAnswer.Answered(answered.answer(), false), effects);
            return true;
        }
        ended.tried().add(ended.endpoint().id());
        CallAnswer failed = failedAnswer(result);
        boolean deadlinePassed = !now.isBefore(ended.request().call().deadline());
        boolean hasOtherEndpoint = picker.pick(
                        ended.request().pool(), ended.request().call().requestId(), ended.tried())
                .isPresent();
        if (deadlinePassed || !hasOtherEndpoint || !retryBudget.tryAcquire(retryShare, now)) {
            answer(ended.request(), failed, effects);
        } else {
            dispatch(ended.request(), ended.tried(), now, effects);
        }
        return true;
    }

    private static CallAnswer failedAnswer(ServiceCallResult result) {
        return result instanceof ServiceCallResult.NotSent notSent
                ? new CallAnswer.NotRun(notSent.failure())
                : new CallAnswer.Unknown(new Failure.OutcomeUnknown());
    }

    private static void answer(CallRequest request, CallAnswer answer, Effects effects) {
        effects.add(new Effect.AnswerCall(request.call().requestId(), answer));
    }
}
