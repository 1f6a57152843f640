package org.banyanstair.external.http;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.external.Cancellation;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.external.GenerationResult;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.testsupport.engine.EngineFault;
import org.banyanstair.testsupport.engine.EngineRun;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.engine.EngineStandIn;
import org.banyanstair.testsupport.engine.EngineTestClient;
import org.banyanstair.testsupport.engine.EngineText;
import org.banyanstair.testsupport.engine.RunOutcome;
import org.banyanstair.testsupport.service.PlainServiceFault;
import org.banyanstair.testsupport.service.PlainServiceSettings;
import org.banyanstair.testsupport.service.PlainServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.banyanstair.testsupport.engine.EngineTestClient.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a client that misjudges whether a command or request ran, repeats it, or waits indefinitely. */
class HttpEngineClientTest {
    private static final Failure FAILED = new Failure.EndpointFailed(TestEndpoints.ID);
    private static final AdapterVersion OTHER = AdapterVersion.parse("a/b@v1");

    private final HttpEngineClient client = new HttpEngineClient(new EngineClientTimeouts(
            Duration.ofSeconds(1), Duration.ofMillis(500), Duration.ofMillis(500), Duration.ofMillis(300)));

    /** For tests of anything but time-outs, so that a busy machine does not end their calls. */
    private final HttpEngineClient clientWithDefaultTimeouts = new HttpEngineClient(EngineClientTimeouts.DEFAULT);

    private EngineStandIn engine;
    private Endpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        start("{}");
    }

    @AfterEach
    void stop() {
        client.stop();
        clientWithDefaultTimeouts.stop();
        engine.stop();
    }

    private void start(String changes) throws Exception {
        ObjectNode settings = Mappers.JSON.valueToTree(EngineSettings.DEFAULT);
        settings.put("loadMilliseconds", 1).put("crashMarker", "boom").put("stepMicroseconds", 2_000);
        settings.setAll((ObjectNode) Mappers.JSON.readTree(changes));
        engine = new EngineStandIn(Mappers.JSON.treeToValue(settings, EngineSettings.class));
        engine.start();
        endpoint = TestEndpoints.at(engine.address());
        assertEquals(
                new EngineCommandResult.Done(),
                clientWithDefaultTimeouts
                        .load(endpoint, TestEndpoints.ADAPTER, 5)
                        .get());
    }

    private void restart(String changes) throws Exception {
        engine.stop();
        start(changes);
    }

    private RecordingTokenListener generate(String id, int maxTokens, long nextToken, Instant deadline) {
        return generate(client, id, maxTokens, nextToken, deadline);
    }

    private RecordingTokenListener generate(
            HttpEngineClient sender, String id, int maxTokens, long nextToken, Instant deadline) {
        RecordingTokenListener recorder = new RecordingTokenListener();
        sender.generate(endpoint, TestEndpoints.request(id, maxTokens, nextToken, deadline), recorder);
        return recorder;
    }

    private static Instant soon() {
        return Instant.now().plusSeconds(8);
    }

    private static List<Long> range(long from, long to) {
        return LongStream.range(from, to).boxed().toList();
    }

    @Test
    void wholeStreamIsDeliveredInOrder() throws Exception {
        RecordingTokenListener recorder = generate("r", 20, 0, soon());
        assertEquals(new GenerationResult.Complete(), recorder.end());
        assertEquals(range(0, 20), recorder.indexes());
        EngineText.tokens(EngineTestClient.ADAPTER, "p", 20)
                .forEach(token -> assertTrue(recorder.json().contains(token)));
    }

    @Test
    void brokenStreamIsResumedAtTheNextToken() throws Exception {
        RecordingTokenListener first = generate("r", 300, 0, soon());
        await("some tokens", () -> first.indexes().size() > 5);
        engine.setFault(EngineFault.REFUSE_CONNECTIONS_MILLISECONDS, 100);
        assertEquals(new GenerationResult.Broken(FAILED), first.end());
        long next = first.indexes().size();
        await("engine is back", () -> client.status(endpoint)
                .handle((status, failure) -> failure == null)
                .get());
        RecordingTokenListener rest = generate("r", 300, next, soon());
        assertEquals(new GenerationResult.Complete(), rest.end());
        assertEquals(range(next, 300), rest.indexes());
        assertEquals(1, engine.record().runs().size());
    }

    @Test
    void requestThatDidNotRunIsNotStarted() throws Exception {
        RecordingTokenListener unreachable = new RecordingTokenListener();
        client.generate(TestEndpoints.closed(), TestEndpoints.request("r", 1, 0, soon()), unreachable);
        assertEquals(
                new GenerationResult.NotStarted(new Failure.EndpointUnreachable(TestEndpoints.ID)), unreachable.end());
        Instant past = Instant.now().minusSeconds(1);
        assertEquals(
                new GenerationResult.NotStarted(new Failure.DeadlinePassed(past)),
                generate("r", 1, 0, past).end());
        assertEquals(
                new GenerationResult.NotStarted(new Failure.EndpointRefused(TestEndpoints.ID, 400)),
                generate("r", 5_000, 0, soon()).end());
        assertEquals(
                new GenerationResult.NotStarted(new Failure.EndpointRefused(TestEndpoints.ID, 404)),
                generate("r", 5, 3, soon()).end());
        client.unload(endpoint, TestEndpoints.ADAPTER, 5).get();
        assertEquals(
                new GenerationResult.NotStarted(new Failure.AdapterNotLoaded(TestEndpoints.ID, TestEndpoints.ADAPTER)),
                generate("r", 1, 0, soon()).end());
        assertTrue(engine.record().runs().isEmpty());
    }

    @Test
    void lostAnswerAndSilenceAreBroken() throws Exception {
        engine.setFault(EngineFault.LOSE_GENERATION_ANSWERS, 1);
        assertEquals(
                new GenerationResult.Broken(FAILED), generate("r", 1, 0, soon()).end());
        RecordingTokenListener silent = generate("q", 4_000, 0, soon());
        await("some tokens", () -> silent.indexes().size() > 3);
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 100_000);
        long start = System.nanoTime();
        assertEquals(new GenerationResult.Broken(FAILED), silent.end());
        assertTrue(System.nanoTime() - start < 2_000_000_000L, "the silence limit is 300 ms");
        assertEquals(2, engine.record().runs().size());
    }

    @Test
    void deadlineEndsTheWaitForTheFirstTokenAndTheStream() throws Exception {
        restart("{\"batchLimit\":1}");
        RecordingTokenListener running = generate("r", 4_000, 0, Instant.now().plusMillis(700));
        await("r runs", () -> !running.indexes().isEmpty());
        RecordingTokenListener waiting = generate("q", 1, 0, Instant.now().plusMillis(200));
        assertEquals(new GenerationResult.Broken(new Failure.OutcomeUnknown()), waiting.end());
        assertTrue(waiting.indexes().isEmpty());
        // When the deadline passes, either side may end the run first.
        assertTrue(running.end() instanceof GenerationResult.Broken);
    }

    @Test
    void cancellationEndsTheRunAtTheEngine() throws Exception {
        RecordingTokenListener recorder = new RecordingTokenListener();
        Cancellation handle = client.generate(endpoint, TestEndpoints.request("r", 4_000, 0, soon()), recorder);
        await("some tokens", () -> !recorder.indexes().isEmpty());
        handle.cancel();
        handle.cancel();
        assertEquals(new GenerationResult.Broken(new Failure.Cancelled()), recorder.end());
        await("cancelled", () -> engine.record().runs().get(0).outcome() == RunOutcome.CANCELLED);
    }

    @Test
    void requestThatHttpCannotCarryIsNotStarted() throws Exception {
        GenerationResult end = generate("r\nX-Priority: premium", 1, 0, soon()).end();
        assertTrue(end instanceof GenerationResult.NotStarted, end.toString());
        assertTrue(engine.record().runs().isEmpty());
    }

    @Test
    void listenerThatThrowsStillGetsItsEnd() throws Exception {
        RecordingTokenListener recorder = new RecordingTokenListener();
        clientWithDefaultTimeouts.generate(
                endpoint, TestEndpoints.request("r", 3, 0, soon()), new org.banyanstair.external.TokenListener() {
                    @Override
                    public void token(long index, String json) {
                        throw new IllegalStateException("expected by the test");
                    }

                    @Override
                    public void end(GenerationResult end) {
                        recorder.end(end);
                    }
                });
        assertEquals(new GenerationResult.Broken(new Failure.OutcomeUnknown()), recorder.end());
    }

    @Test
    void ordersTellRefusalFromUnknown() throws Exception {
        assertEquals(
                new EngineCommandResult.Refused(new Failure.OrderFenced(TestEndpoints.ID, 4)),
                client.load(endpoint, OTHER, 4).get());
        assertEquals(
                new EngineCommandResult.Done(), client.raiseFence(endpoint, 9).get());
        assertEquals(
                new EngineCommandResult.Refused(new Failure.OrderFenced(TestEndpoints.ID, 8)),
                client.unload(endpoint, TestEndpoints.ADAPTER, 8).get());
        engine.setFault(EngineFault.FAIL_LOADS, 1);
        assertEquals(
                new EngineCommandResult.Refused(new Failure.AdapterLoadFailed(OTHER)),
                client.load(endpoint, OTHER, 9).get());
        engine.setFault(EngineFault.LOSE_LOAD_ANSWERS, 1);
        assertEquals(
                new EngineCommandResult.Unknown(FAILED),
                client.load(endpoint, OTHER, 9).get());
        assertEquals(
                Map.of(OTHER, 0, TestEndpoints.ADAPTER, 0),
                client.status(endpoint).get().loaded());
        engine.setFault(EngineFault.LOSE_UNLOAD_ANSWERS, 1);
        assertEquals(
                new EngineCommandResult.Unknown(FAILED),
                client.unload(endpoint, OTHER, 9).get());
        assertEquals(
                new EngineCommandResult.Refused(new Failure.EndpointUnreachable(TestEndpoints.ID)),
                client.load(TestEndpoints.closed(), OTHER, 9).get());
    }

    @Test
    void fullEngineRefusesALoadAndASlowOneIsUnknown() throws Exception {
        restart("{\"slots\":1}");
        assertEquals(
                new EngineCommandResult.Refused(new Failure.EndpointRefused(TestEndpoints.ID, 409)),
                client.load(endpoint, OTHER, 5).get());
    }

    @Test
    void loadThatTakesTooLongIsUnknownAndMayStillTakeEffect() throws Exception {
        PlainServiceStandIn store = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);
        store.start();
        try {
            restart("{\"weightStore\":\"" + store.address() + "\"}");
            store.setFault(PlainServiceFault.DELAY_MILLISECONDS, 1_000);
            assertEquals(
                    new EngineCommandResult.Unknown(FAILED),
                    client.load(endpoint, OTHER, 5).get());
            assertEquals(
                    Set.of(TestEndpoints.ADAPTER),
                    client.status(endpoint).get().loaded().keySet());
            await("loaded", () -> client.status(endpoint).get().loaded().containsKey(OTHER));
        } finally {
            store.stop();
        }
    }

    @Test
    void statusIsReadOrFails() throws Exception {
        EngineStatus status = client.status(endpoint).get();
        assertEquals(4, status.slots());
        assertEquals(8, status.batchLimit());
        assertEquals(5, status.fence());
        ExecutionException failure = assertThrows(ExecutionException.class, () -> client.status(TestEndpoints.closed())
                .get());
        assertEquals(
                new Failure.EndpointUnreachable(TestEndpoints.ID), ((FailureException) failure.getCause()).failure());
    }

    @Test
    void thousandStreamsRunAtATime() throws Exception {
        restart("{\"batchLimit\":1000,\"stepMicroseconds\":20000,\"stepMicrosecondsPerRequest\":0}");
        // On a busy machine, a step can take longer than the short timeouts of the other tests.
        Duration limit = Duration.ofSeconds(5);
        HttpEngineClient clientWithLongTimeouts =
                new HttpEngineClient(new EngineClientTimeouts(limit, limit, limit, limit));
        // Steps are slow until all streams run, because short streams could end before the last one has started.
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 200);
        List<RecordingTokenListener> recorders = IntStream.range(0, 1_000)
                .mapToObj(i -> generate(
                        clientWithLongTimeouts, "r" + i, 100, 0, Instant.now().plusSeconds(20)))
                .toList();
        await("all run", () -> engine.record().runs().size() == 1_000);
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 0);
        long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        System.out.printf("1,000 streams: %d MB of heap in use, client and engine%n", used >> 20);
        for (RecordingTokenListener recorder : recorders) {
            assertEquals(new GenerationResult.Complete(), recorder.end());
            assertEquals(range(0, 100), recorder.indexes());
        }
        assertEquals(
                100_000,
                engine.record().runs().stream().mapToInt(EngineRun::tokens).sum());
    }
}
