package org.banyanstair.server.http.caller;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.banyanstair.configuration.AdapterDeclaration;
import org.banyanstair.configuration.AdapterKey;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.Operation;
import org.banyanstair.configuration.Route;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.Cancellation;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.server.service.CallerService;
import org.banyanstair.server.service.EntryAddresses;
import org.banyanstair.server.service.Generation;
import org.banyanstair.server.service.GenerationSink;
import org.banyanstair.server.service.PlainCall;

/** Caller service with configurable responses; generations run on a thread of their own, as in the daemon. */
final class FakeCallerService implements CallerService {
    static final CallerId CLERK = new CallerId("clerk");
    static final CallerId MEMBER = new CallerId("member");

    final BlockingQueue<Generation> generations = new LinkedBlockingQueue<>();
    final BlockingQueue<PlainCall> calls = new LinkedBlockingQueue<>();
    final CountDownLatch cancelled = new CountDownLatch(1);
    volatile Optional<Failure> notReadyReason = Optional.empty();
    volatile BiConsumer<Generation, GenerationSink> generationHandler = (generation, sink) -> {};
    volatile Function<PlainCall, CallAnswer> callHandler = call -> new CallAnswer.Answered(
            new ServiceAnswer(200, call.call().contentType(), call.call().body()), false);

    private final Configuration configuration = Configuration.INITIAL.apply(
            5,
            List.of(
                    new Operation.PutService(service("assistant", ServiceKind.GENERATION, Set.of(CLERK))),
                    new Operation.PutService(service("internal", ServiceKind.GENERATION, Set.of(MEMBER))),
                    new Operation.PutService(service("desk", ServiceKind.PLAIN, Set.of(CLERK))),
                    new Operation.PutAdapter(
                            new AdapterDeclaration(AdapterKey.parse("assistant/tender"), List.of("v1", "v2"), "v2")),
                    new Operation.PutAdapter(
                            new AdapterDeclaration(AdapterKey.parse("internal/proof"), List.of("v1"), "v1"))));

    private static ServiceDeclaration service(String id, ServiceKind kind, Set<CallerId> callers) {
        List<Route> routes = List.of(new Route("GET", "/stock", true));
        return new ServiceDeclaration(
                new ServiceId(id), kind, new PoolId(id), callers, routes, Objective.DEFAULT, 10, 10);
    }

    @Override
    public Optional<Failure> notReadyReason() {
        return notReadyReason;
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public Cancellation generate(Generation generation, GenerationSink sink) {
        generations.add(generation);
        new Thread(() -> generationHandler.accept(generation, sink)).start();
        return cancelled::countDown;
    }

    @Override
    public CompletableFuture<CallAnswer> call(PlainCall call) {
        calls.add(call);
        return CompletableFuture.supplyAsync(() -> callHandler.apply(call));
    }

    @Override
    public EntryAddresses entryAddresses() {
        return new EntryAddresses(
                List.of(new EntryAddresses.EntryAddress(
                        new HostId("entry-1"), new DataCentre("ub-east"), new NetworkAddress("127.0.0.1", 8080))),
                Instant.parse("2026-12-04T10:00:30Z"));
    }
}
