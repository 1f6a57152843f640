package org.banyanstair.server.daemon;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.external.AppendResult;
import org.banyanstair.external.EngineClient;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.LogService;
import org.banyanstair.external.PlainServiceClient;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.transport.PeerTransport;

/** Carries out the effects of the reducer; results come back as events. Called by the event loop only. */
final class EffectDispatcher implements Consumer<Effect> {
    private final Map<Class<? extends Effect>, Consumer<Effect>> handlers = new HashMap<>();
    private final Consumer<Function<Instant, Event>> events;
    private final InstantSource clock;

    /**
     * Creates the runner.
     *
     * @param clock gives the instants at which orders are sent
     * @param events takes the results
     */
    EffectDispatcher(InstantSource clock, Consumer<Function<Instant, Event>> events) {
        this.clock = clock;
        this.events = events;
    }

    @Override
    public void accept(Effect effect) {
        handlers.get(effect.getClass()).accept(effect);
    }

    <E extends Effect> void on(Class<E> type, Consumer<E> handler) {
        handlers.put(type, effect -> handler.accept(type.cast(effect)));
    }

    void usePeers(PeerTransport peers) {
        on(Effect.SendToPeer.class, effect -> peers.send(effect.peer(), effect.message()));
        on(Effect.WatchPeer.class, effect -> peers.watch(effect.peer()));
        on(Effect.UnwatchPeer.class, effect -> peers.unwatch(effect.peer()));
    }

    void useLog(LogService log, LogTailer followers) {
        on(Effect.FollowStream.class, effect -> followers.follow(effect.stream(), effect.fromOffset()));
        on(Effect.UnfollowStream.class, effect -> followers.unfollow(effect.stream()));
        on(Effect.AppendToLog.class, effect -> append(log, effect));
    }

    private void append(LogService log, Effect.AppendToLog effect) {
        List<byte[]> payloads =
                effect.entries().stream().map(LogEntryCodec::encode).toList();
        log.append(effect.stream(), payloads).thenAccept(result -> {
            if (result instanceof AppendResult.Rejected rejected) {
                events.accept(at -> new Event.AppendRejected(at, effect.appendId(), rejected.failure()));
            } else {
                events.accept(at -> new Event.AppendEnded(at, effect.appendId()));
            }
        });
    }

    void useEngines(EngineClient engines) {
        on(
                Effect.LoadAdapter.class,
                effect -> order(
                        engines.load(effect.endpoint(), effect.adapter(), effect.term()),
                        (at, result) -> new Event.LoadEnded(
                                at, effect.endpoint().id(), effect.adapter(), effect.term(), result)));
        on(
                Effect.UnloadAdapter.class,
                effect -> order(
                        engines.unload(effect.endpoint(), effect.adapter(), effect.term()),
                        (at, result) -> new Event.UnloadEnded(
                                at, effect.endpoint().id(), effect.adapter(), effect.term(), result)));
        on(
                Effect.RaiseFence.class,
                effect -> order(
                        engines.raiseFence(effect.endpoint(), effect.term()),
                        (at, result) ->
                                new Event.FenceEnded(at, effect.endpoint().id(), effect.term(), result)));
        on(Effect.ReadEngineStatus.class, effect -> readStatus(engines, effect.endpoint()));
    }

    /** Turns the result of an order into an event. */
    @FunctionalInterface
    private interface OrderEvent {
        Event of(Instant at, EngineCommandResult result);
    }

    private void order(CompletableFuture<EngineCommandResult> order, OrderEvent event) {
        order.thenAccept(result -> events.accept(at -> event.of(at, result)));
    }

    private void readStatus(EngineClient engines, Endpoint endpoint) {
        Instant askedAt = clock.instant();
        engines.status(endpoint).whenComplete((status, failure) -> {
            if (failure == null) {
                events.accept(at -> new Event.EngineStatusRead(at, endpoint.id(), askedAt, status));
            } else {
                events.accept(at -> new Event.EngineStatusFailed(at, endpoint.id()));
            }
        });
    }

    void useServices(PlainServiceClient services) {
        on(Effect.DispatchCall.class, effect -> services.call(effect.endpoint(), effect.call())
                .thenAccept(result -> events.accept(at -> new Event.DispatchEnded(at, effect.dispatchId(), result))));
    }

    void useGenerations(GenerationExecutor generations) {
        on(
                Effect.StartAttempt.class,
                effect -> generations.start(
                        effect.request(), effect.attempt(), effect.endpoint(), effect.loadStallMilliseconds()));
        on(Effect.CancelAttempt.class, effect -> generations.cancelAttempt(effect.request(), effect.attempt()));
        on(Effect.CompleteGeneration.class, effect -> generations.complete(effect.request()));
        on(Effect.FailGeneration.class, effect -> generations.fail(effect.request(), effect.failure()));
    }
}
