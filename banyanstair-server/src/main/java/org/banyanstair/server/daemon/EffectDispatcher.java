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

/** Executes the effects of the reducer and submits their results as events. Called only by the event loop. */
final class EffectDispatcher implements Consumer<Effect> {
    private final Map<Class<? extends Effect>, Consumer<Effect>> handlers = new HashMap<>();
    private final Consumer<Function<Instant, Event>> events;
    private final InstantSource clock;

    /**
     * Creates a dispatcher without handlers.
     *
     * @param clock supplies the times at which status requests are sent
     * @param events receives the results
     */
    EffectDispatcher(InstantSource clock, Consumer<Function<Instant, Event>> events) {
        this.clock = clock;
        this.events = events;
    }

    @Override
    public void accept(Effect effect) {
        handlers.get(effect.getClass()).accept(effect);
    }

    <E extends Effect> void register(Class<E> type, Consumer<E> handler) {
        handlers.put(type, effect -> handler.accept(type.cast(effect)));
    }

    void registerPeerEffects(PeerTransport peers) {
        register(Effect.SendToPeer.class, effect -> peers.send(effect.peer(), effect.message()));
        register(Effect.WatchPeer.class, effect -> peers.watch(effect.peer()));
        register(Effect.UnwatchPeer.class, effect -> peers.unwatch(effect.peer()));
    }

    void registerLogEffects(LogService log, LogTailer tailer) {
        register(Effect.FollowStream.class, effect -> tailer.follow(effect.stream(), effect.fromOffset()));
        register(Effect.UnfollowStream.class, effect -> tailer.unfollow(effect.stream()));
        register(Effect.AppendToLog.class, effect -> append(log, effect));
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

    void registerEngineEffects(EngineClient engines) {
        register(
                Effect.LoadAdapter.class,
                effect -> submitResult(
                        engines.load(effect.endpoint(), effect.adapter(), effect.term()),
                        (at, result) -> new Event.LoadEnded(
                                at, effect.endpoint().id(), effect.adapter(), effect.term(), result)));
        register(
                Effect.UnloadAdapter.class,
                effect -> submitResult(
                        engines.unload(effect.endpoint(), effect.adapter(), effect.term()),
                        (at, result) -> new Event.UnloadEnded(
                                at, effect.endpoint().id(), effect.adapter(), effect.term(), result)));
        register(
                Effect.RaiseFence.class,
                effect -> submitResult(
                        engines.raiseFence(effect.endpoint(), effect.term()),
                        (at, result) ->
                                new Event.FenceEnded(at, effect.endpoint().id(), effect.term(), result)));
        register(Effect.ReadEngineStatus.class, effect -> readStatus(engines, effect.endpoint()));
    }

    /** Creates the event for the result of an engine command. */
    @FunctionalInterface
    private interface CommandResultEvent {
        Event of(Instant at, EngineCommandResult result);
    }

    private void submitResult(CompletableFuture<EngineCommandResult> command, CommandResultEvent event) {
        command.thenAccept(result -> events.accept(at -> event.of(at, result)));
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

    void registerServiceEffects(PlainServiceClient services) {
        register(Effect.DispatchCall.class, effect -> services.call(effect.endpoint(), effect.call())
                .thenAccept(result -> events.accept(at -> new Event.DispatchEnded(at, effect.dispatchId(), result))));
    }

    void registerGenerationEffects(GenerationExecutor generations) {
        register(
                Effect.StartAttempt.class,
                effect -> generations.start(
                        effect.request(), effect.attempt(), effect.endpoint(), effect.loadStallMilliseconds()));
        register(Effect.CancelAttempt.class, effect -> generations.cancelAttempt(effect.request(), effect.attempt()));
        register(Effect.CompleteGeneration.class, effect -> generations.complete(effect.request()));
        register(Effect.FailGeneration.class, effect -> generations.fail(effect.request(), effect.failure()));
    }
}
