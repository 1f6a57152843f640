package org.banyanstair.server.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.Cancellation;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.reducer.CallRequest;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.GenerationRequest;
import org.banyanstair.reducer.HostReducer;
import org.banyanstair.server.service.CallerService;
import org.banyanstair.server.service.ClusterStatus;
import org.banyanstair.server.service.EntryAddresses;
import org.banyanstair.server.service.Generation;
import org.banyanstair.server.service.GenerationSink;
import org.banyanstair.server.service.OperatorService;
import org.banyanstair.server.service.PlainCall;

/** Connects the HTTP interfaces to the event loop. Thread-safe. */
final class HostService implements CallerService, OperatorService {
    private final HostId host;
    private final Duration entryAddressLifetime;
    private final InstantSource clock;
    private final GenerationExecutor generations;
    private final Consumer<Function<Instant, Event>> events;
    private final AtomicReference<HostSnapshot> snapshot;
    private final AtomicLong queryIds = new AtomicLong();
    private final Map<RequestId, CompletableFuture<CallAnswer>> pendingCalls = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<ChangeVerdict>> pendingChanges = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Effect.AnswerStatus>> pendingStatusQueries = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Optional<ChangeVerdict>>> pendingVerdictQueries =
            new ConcurrentHashMap<>();
    private long publishedVersion = Long.MIN_VALUE;
    private Instant nextSnapshotAt = Instant.MIN;

    HostService(
            HostId host,
            Duration entryAddressLifetime,
            InstantSource clock,
            GenerationExecutor generations,
            Consumer<Function<Instant, Event>> events) {
        this.host = host;
        this.entryAddressLifetime = entryAddressLifetime;
        this.clock = clock;
        this.generations = generations;
        this.events = events;
        this.snapshot = new AtomicReference<>(new HostSnapshot(
                Optional.of(new Failure.NotReady(host)), Configuration.INITIAL, List.of(), List.of(), false, 0, false));
    }

    /** Registers handlers for the effects that complete requests of callers and operators. */
    void registerReplyEffects(EffectDispatcher effects) {
        effects.register(Effect.AnswerCall.class, effect -> Optional.ofNullable(pendingCalls.remove(effect.request()))
                .ifPresent(future -> future.complete(effect.answer())));
        effects.register(
                Effect.AnswerChange.class, effect -> Optional.ofNullable(pendingChanges.remove(effect.changeId()))
                        .ifPresent(future -> future.complete(effect.verdict())));
        effects.register(
                Effect.AnswerVerdict.class, effect -> Optional.ofNullable(pendingVerdictQueries.remove(effect.query()))
                        .ifPresent(future -> future.complete(effect.verdict())));
        effects.register(
                Effect.AnswerStatus.class, effect -> Optional.ofNullable(pendingStatusQueries.remove(effect.query()))
                        .ifPresent(future -> future.complete(effect)));
    }

    /**
     * Publishes a snapshot of the reducer's state: immediately if the configuration is new, otherwise at most every 20
     * ms.
     */
    void publish(HostReducer reducer) {
        Instant now = clock.instant();
        long version = reducer.configuration().current().version();
        if (version == publishedVersion && now.isBefore(nextSnapshotAt)) {
            return;
        }
        publishedVersion = version;
        nextSnapshotAt = now.plusMillis(20);
        snapshot.set(snapshotOf(reducer));
    }

    private HostSnapshot snapshotOf(HostReducer reducer) {
        Membership membership = reducer.membership();
        List<EntryHost> listedHosts = membership.listing().hosts();
        List<EntryHost> usableHosts = listedHosts.stream()
                .filter(host -> membership.isAvailable(host.id()))
                .toList();
        return new HostSnapshot(
                reducer.isReady() ? Optional.empty() : Optional.of(new Failure.NotReady(host)),
                reducer.configuration().current(),
                listedHosts,
                usableHosts,
                membership.isDraining(),
                reducer.inFlight(),
                !reducer.ownsNoPool());
    }

    HostSnapshot snapshot() {
        return snapshot.get();
    }

    @Override
    public Optional<Failure> notReadyReason() {
        return snapshot().notReadyReason();
    }

    @Override
    public Configuration configuration() {
        return snapshot().configuration();
    }

    @Override
    public Cancellation generate(Generation generation, GenerationSink sink) {
        generations.add(generation, sink);
        GenerationRequest request = new GenerationRequest(
                generation.id(),
                generation.service(),
                generation.adapter(),
                generation.caller(),
                generation.priority(),
                generation.deadline(),
                generation.prefix(),
                generation.fingerprint(),
                generation.parts());
        events.accept(at -> new Event.GenerationArrived(at, request));
        return () -> generations.cancel(generation.id());
    }

    @Override
    public CompletableFuture<CallAnswer> call(PlainCall call) {
        CompletableFuture<CallAnswer> future = new CompletableFuture<>();
        pendingCalls.put(call.call().requestId(), future);
        CallRequest request = new CallRequest(call.call(), call.service().pool(), call.key(), call.bodyDigest());
        events.accept(at -> new Event.CallArrived(at, request));
        return future;
    }

    @Override
    public EntryAddresses entryAddresses() {
        List<EntryHost> hosts = new ArrayList<>(snapshot().usableHosts());
        // Shuffled for each caller, which distributes callers over the hosts without a load balancer.
        Collections.shuffle(hosts, ThreadLocalRandom.current());
        return new EntryAddresses(
                hosts.stream()
                        .map(host ->
                                new EntryAddresses.EntryAddress(host.id(), host.dataCentre(), host.callerAddress()))
                        .toList(),
                clock.instant().plus(entryAddressLifetime));
    }

    @Override
    public CompletableFuture<ChangeVerdict> submit(ConfigurationChange change) {
        CompletableFuture<ChangeVerdict> verdict = new CompletableFuture<>();
        pendingChanges.put(change.changeId(), verdict);
        events.accept(at -> new Event.ChangeSubmitted(at, change));
        return verdict;
    }

    @Override
    public CompletableFuture<Optional<ChangeVerdict>> verdict(String changeId) {
        long query = queryIds.incrementAndGet();
        CompletableFuture<Optional<ChangeVerdict>> future = new CompletableFuture<>();
        pendingVerdictQueries.put(query, future);
        events.accept(at -> new Event.VerdictQueried(at, query, changeId));
        return future;
    }

    private CompletableFuture<Effect.AnswerStatus> queryStatus() {
        long query = queryIds.incrementAndGet();
        CompletableFuture<Effect.AnswerStatus> future = new CompletableFuture<>();
        pendingStatusQueries.put(query, future);
        events.accept(at -> new Event.StatusQueried(at, query));
        return future;
    }

    @Override
    public CompletableFuture<ClusterStatus> status() {
        return queryStatus().thenApply(reply -> new ClusterStatus(snapshot().listedHosts(), reply.states()));
    }

    @Override
    public CompletableFuture<List<EndpointReport>> endpoints() {
        return queryStatus().thenApply(Effect.AnswerStatus::endpoints);
    }

    @Override
    public CompletableFuture<Optional<Failure>> drain(HostId host) {
        boolean listed =
                snapshot().listedHosts().stream().anyMatch(entry -> entry.id().equals(host));
        if (!listed) {
            return CompletableFuture.completedFuture(Optional.of(new Failure.HostUnreachable(host)));
        }
        events.accept(at -> new Event.DrainRequested(at, host));
        return CompletableFuture.completedFuture(Optional.empty());
    }
}
