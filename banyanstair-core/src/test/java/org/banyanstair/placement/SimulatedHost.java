package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.GenerationRequest;
import org.banyanstair.reducer.HostReducer;
import org.banyanstair.reducer.ReducerSettings;

/** A host with a real {@link HostReducer}; while it is paused, its events and pending effects are deferred. */
final class SimulatedHost {
    /** Shorter lags than the default, so that evictions follow a takeover within the simulated time. */
    private static final ReducerSettings SETTINGS = new ReducerSettings(
            Duration.ofMillis(25),
            Duration.ofMinutes(30),
            Duration.ofMinutes(1),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            3,
            Duration.ofSeconds(8),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            Duration.ofMillis(1_500),
            Duration.ofMillis(1_500),
            Duration.ofHours(1),
            PlacementPolicy.STANDARD);

    private final SimulatedCluster cluster;
    private final HostIdentity identity;
    private final HostReducer reducer;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Map<String, Integer> readPositions = new HashMap<>();
    private final Map<RequestId, GenerationRequest> requests = new HashMap<>();
    private final Map<RequestId, Attempt> attempts = new HashMap<>();
    private final Map<String, Long> grantTerms = new HashMap<>();
    private final Set<RequestId> endedRequests = new TreeSet<>();
    private final Set<RequestId> withdrawnRequests = new TreeSet<>();
    private boolean paused;
    private boolean killed;

    /** A running attempt; {@code term} is the term of its grant. */
    record Attempt(int number, Endpoint endpoint, long term) {}

    SimulatedHost(SimulatedCluster cluster, HostIdentity identity) {
        this.cluster = cluster;
        this.identity = identity;
        this.reducer = new HostReducer(identity, SETTINGS, cluster.now());
    }

    void start() {
        reducer.start().forEach(this::execute);
    }

    HostIdentity identity() {
        return identity;
    }

    HostReducer reducer() {
        return reducer;
    }

    Map<String, Integer> readPositions() {
        return readPositions;
    }

    Map<RequestId, Attempt> attempts() {
        return attempts;
    }

    boolean isKilled() {
        return killed;
    }

    boolean isPaused() {
        return paused;
    }

    void kill() {
        killed = true;
        deferred.clear();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!paused && !deferred.isEmpty()) {
            deferred.removeFirst().run();
        }
    }

    void runUnlessPaused(Runnable action) {
        if (paused) {
            deferred.addLast(action);
        } else if (!killed) {
            action.run();
        }
    }

    void deliver(Function<Instant, Event> event) {
        runUnlessPaused(() -> apply(event.apply(cluster.now())));
    }

    void arrive(GenerationRequest request) {
        requests.put(request.id(), request);
        deliver(at -> new Event.GenerationArrived(at, request));
    }

    private void apply(Event event) {
        if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof PeerMessage.PermitGrant grant) {
            grantTerms.put(grant.request() + "/" + grant.attempt(), grant.term());
        } else if (event instanceof Event.AttemptEnded end) {
            attempts.computeIfPresent(
                    end.request(), (id, attempt) -> attempt.number() == end.attempt() ? null : attempt);
        }
        var effects = reducer.apply(event);
        if (!effects.isEmpty() && cluster.pausesBeforeEffects(this)) {
            pause();
        }
        if (paused) {
            deferBeforeOtherEvents(effects);
        } else {
            effects.forEach(effect -> runUnlessPaused(() -> execute(effect)));
        }
    }

    /** A host that pauses again while it runs deferred actions has to execute these effects before the next event. */
    private void deferBeforeOtherEvents(List<Effect> effects) {
        for (int index = effects.size() - 1; index >= 0; index--) {
            Effect effect = effects.get(index);
            deferred.addFirst(() -> execute(effect));
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            cluster.send(identity, send.peer(), send.message());
        } else if (effect instanceof Effect.AppendToLog append) {
            cluster.log().append(this, append);
        } else if (effect instanceof Effect.FollowStream follow) {
            readPositions.put(follow.stream(), (int) follow.fromOffset());
            cluster.log().scheduleRead(this, follow.stream());
        } else if (effect instanceof Effect.UnfollowStream unfollow) {
            readPositions.remove(unfollow.stream());
        } else if (effect instanceof Effect.StartAttempt start) {
            startAttempt(start);
        } else if (effect instanceof Effect.CancelAttempt cancel) {
            cancelAttempt(cancel.request());
        } else if (effect instanceof Effect.CompleteGeneration complete) {
            generationEnded(complete.request());
        } else if (effect instanceof Effect.FailGeneration fail) {
            generationEnded(fail.request());
            cluster.failed(requests.get(fail.request()), fail.failure());
        } else {
            executeEngineCommand(effect);
        }
    }

    private void executeEngineCommand(Effect effect) {
        if (effect instanceof Effect.LoadAdapter load) {
            cluster.engine(load.endpoint())
                    .load(
                            load.adapter(),
                            load.term(),
                            result -> deliverResult(at -> new Event.LoadEnded(
                                    at, load.endpoint().id(), load.adapter(), load.term(), result)));
        } else if (effect instanceof Effect.UnloadAdapter unload) {
            cluster.engine(unload.endpoint())
                    .unload(
                            unload.adapter(),
                            unload.term(),
                            result -> deliverResult(at -> new Event.UnloadEnded(
                                    at, unload.endpoint().id(), unload.adapter(), unload.term(), result)));
        } else if (effect instanceof Effect.RaiseFence fence) {
            cluster.engine(fence.endpoint())
                    .raiseFence(
                            fence.term(),
                            (EngineCommandResult result) -> deliverResult(at ->
                                    new Event.FenceEnded(at, fence.endpoint().id(), fence.term(), result)));
        } else if (effect instanceof Effect.ReadEngineStatus read) {
            readStatus(read.endpoint(), cluster.now());
        }
    }

    private void deliverResult(Function<Instant, Event> event) {
        deliver(event);
    }

    private void readStatus(Endpoint endpoint, Instant askedAt) {
        SimulatedEngine engine = cluster.engine(endpoint);
        cluster.after(cluster.delay(), () -> {
            if (engine.isDown()) {
                deliver(at -> new Event.EngineStatusFailed(at, endpoint.id()));
                return;
            }
            var status = engine.laggingStatus();
            cluster.after(
                    cluster.delay(),
                    () -> deliver(at -> new Event.EngineStatusRead(at, endpoint.id(), askedAt, status)));
        });
    }

    private void startAttempt(Effect.StartAttempt start) {
        GenerationRequest request = requests.get(start.request());
        if (request == null || endedRequests.contains(start.request())) {
            cluster.addViolation("attempt of a request that is not in flight: " + start);
            return;
        }
        long term = grantTerms.getOrDefault(start.request() + "/" + start.attempt(), -1L);
        Attempt previous = attempts.put(start.request(), new Attempt(start.attempt(), start.endpoint(), term));
        if (previous != null) {
            cluster.addViolation("two attempts of " + start.request() + " run concurrently");
        }
        var run = new SimulatedEngine.RunId(identity, start.request(), start.attempt());
        cluster.after(cluster.delay(), () -> cluster.engine(start.endpoint())
                .start(this, run, request.adapter(), request.fingerprint()));
        cluster.checkBatchLimits();
    }

    private void cancelAttempt(RequestId request) {
        Attempt attempt = attempts.remove(request);
        if (attempt != null) {
            var run = new SimulatedEngine.RunId(identity, request, attempt.number());
            // Arrives after any delayed start of the same attempt, because one connection carries both.
            cluster.after(SimulatedCluster.LONGEST_DELAY_MILLIS, () -> cluster.engine(attempt.endpoint())
                    .cancel(run));
        }
    }

    private void generationEnded(RequestId request) {
        attempts.remove(request);
        if (!endedRequests.add(request)) {
            cluster.addViolation("request ended twice: " + request);
        }
    }

    /** Adds a violation for each request that has not ended. */
    void checkAllEnded() {
        requests.keySet().stream()
                .filter(request -> !endedRequests.contains(request) && !withdrawnRequests.contains(request))
                .forEach(request -> cluster.addViolation("request did not end: " + request));
    }

    void withdraw(RequestId request) {
        if (requests.containsKey(request) && !endedRequests.contains(request) && withdrawnRequests.add(request)) {
            deliver(at -> new Event.GenerationCancelled(at, request));
        }
    }
}
