package org.banyanstair.testsupport.engine;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.Response;
import org.banyanstair.codec.Mappers;
import org.banyanstair.testsupport.engine.EngineTestClient.Answer;
import org.banyanstair.testsupport.service.PlainServiceFault;
import org.banyanstair.testsupport.service.PlainServiceSettings;
import org.banyanstair.testsupport.service.PlainServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.banyanstair.testsupport.engine.EngineTestClient.ADAPTER;
import static org.banyanstair.testsupport.engine.EngineTestClient.await;
import static org.banyanstair.testsupport.engine.EngineTestClient.body;
import static org.banyanstair.testsupport.engine.EngineTestClient.events;
import static org.banyanstair.testsupport.engine.EngineTestClient.expected;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an engine stand-in that deviates from the engine protocol and so invalidates the tests using it. */
class EngineStandInTest {
    private EngineStandIn engine;
    private EngineTestClient client;

    private void start(String changes) throws Exception {
        ObjectNode settings = Mappers.JSON.valueToTree(EngineSettings.DEFAULT);
        settings.put("loadMilliseconds", 1).put("stepMicroseconds", 2_000).put("cacheEventLagMilliseconds", 0);
        settings.setAll((ObjectNode) Mappers.JSON.readTree(changes));
        engine = new EngineStandIn(Mappers.JSON.treeToValue(settings, EngineSettings.class));
        engine.start();
        client = new EngineTestClient(engine.address());
        assertEquals(200, client.load(ADAPTER, 1).status());
    }

    @AfterEach
    void stop() {
        engine.stop();
    }

    private List<RunOutcome> outcomes() {
        return engine.record().runs().stream().map(EngineRun::outcome).toList();
    }

    /** Reads until the first token event has arrived. */
    private static Response openStream(Call call) throws IOException {
        Response response = call.execute();
        response.body().source().request(20);
        return response;
    }

    @Test
    void chatAndTextCompletionReturnExpectedText() throws Exception {
        start("{}");
        assertEquals(expected("p", 5, 0), events(client.complete("r1", body("p", 5))));
        String chat = "{\"model\":\"" + ADAPTER + "\",\"stream\":true,\"stream_options\":{\"include_usage\":true},"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        Answer answer = client.send("POST", "/v1/chat/completions", chat, "X-Request-Id", "r2");
        List<String> expected = expected("user: hi\n", 16, 0);
        assertEquals(expected, events(answer).subList(0, 16));
        assertEquals(List.of("16=16"), events(answer).subList(16, 17));
        assertEquals(1, answer.body().split("\"finish_reason\":\"length\"", -1).length - 1);
        EngineRun run = engine.record().runs().get(1);
        assertEquals(EngineText.digest("user: hi\n"), run.promptDigest());
        assertEquals(16, run.tokens());
    }

    @Test
    void invalidRequestsAreRejectedWithErrorCode() throws Exception {
        start("{}");
        assertEquals(
                "adapter_not_loaded",
                client.complete("r", body("p", 1).replace("@v1", "@v2")).code());
        assertEquals("invalid_field", client.complete("r", body("p", 4_097)).code());
        assertEquals(
                400, client.complete("r", body("p", 1).replace("true", "false")).status());
        assertEquals(400, client.complete("r", "{").status());
        Answer late = client.complete("r", body("p", 1), "X-Request-Deadline", "2020-01-01T00:00:00Z");
        assertEquals(408, late.status());
        assertEquals(
                400,
                client.complete("r", body("p", 1), "X-Request-Deadline", "soon").status());
        assertTrue(engine.record().runs().isEmpty());
    }

    @Test
    void endedStreamCanBeResumedAndUnknownOneCannot() throws Exception {
        start("{}");
        String usage = body("p", 5, ",\"stream_options\":{\"include_usage\":true}");
        client.complete("r", usage);
        List<String> rest = events(client.complete("r", usage, "Last-Event-ID", "2"));
        assertEquals(expected("p", 5, 3), rest.subList(0, 2));
        assertEquals(List.of("5=5"), rest.subList(2, 3));
        assertEquals(List.of(), events(client.complete("r", usage, "Last-Event-ID", "5")));
        assertEquals(
                "stream_not_found",
                client.complete("r", usage, "Last-Event-ID", "6").code());
        assertEquals(
                "stream_not_found",
                client.complete("q", usage, "Last-Event-ID", "0").code());
        assertEquals(1, engine.record().runs().size());
    }

    @Test
    void continuesTextOfAnotherEngine() throws Exception {
        start("{}");
        String text = String.join("", EngineText.tokens(ADAPTER, "p", 5).subList(0, 2));
        String more = body("p", 5, ",\"continue_from\":\"" + text + "\"");
        assertEquals(expected("p", 5, 2), events(client.complete("r1", more)));
        assertEquals(expected("p", 5, 2), events(client.complete("r2", more, "Last-Event-ID", "1")));
        assertEquals(
                "stream_not_found",
                client.complete("r3", more, "Last-Event-ID", "2").code());
        assertEquals(
                400,
                client.complete("r4", body("p", 5, ",\"continue_from\":\"x\"")).status());
        assertEquals(3, engine.record().runs().get(0).tokens());
    }

    @Test
    void premiumRequestsEnterBatchBeforeStandardOnes() throws Exception {
        start("{\"batchLimit\":1}");
        // Slow steps keep the first request running until both others are queued.
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 50);
        CompletableFuture<Answer> first = client.completeAsync("first", body("p", 100));
        await("first runs", () -> engine.record().runs().size() == 1);
        CompletableFuture<Answer> standard = client.completeAsync("standard", body("p", 1), "X-Priority", "standard");
        await("one waits", () -> client.status().path("waiting").asInt() == 1);
        CompletableFuture<Answer> premium = client.completeAsync("premium", body("p", 1), "X-Priority", "premium");
        await("two wait", () -> client.status().path("waiting").asInt() == 2);
        assertEquals(1, client.status().path("running").asInt());
        engine.setFault(EngineFault.SLOW_STEP_MILLISECONDS, 0);
        CompletableFuture.allOf(first, standard, premium).join();
        assertEquals(
                List.of("first", "premium", "standard"),
                engine.record().runs().stream().map(EngineRun::requestId).toList());
    }

    @Test
    void disconnectedStreamContinuesIsResumedOrExpires() throws Exception {
        start("{\"keepBrokenStreamsSeconds\":1}");
        openStream(client.newCompletionCall("r", body("p", 300))).close();
        List<String> rest = events(client.complete("r", body("p", 300), "Last-Event-ID", "0"));
        assertEquals(expected("p", 300, 1), rest);
        openStream(client.newCompletionCall("q", body("p", 4_000))).close();
        await("q ends", () -> outcomes().contains(RunOutcome.DISCONNECTED));
        assertTrue(engine.record().runs().get(1).tokens() > 100);
        Call resumed =
                client.call("POST", "/v1/completions", body("p", 4_000), "X-Request-Id", "q", "Last-Event-ID", "10");
        openStream(resumed).close();
        assertEquals(List.of(RunOutcome.COMPLETED, RunOutcome.RUNNING), outcomes());
    }

    @Test
    void resumeClosesThePreviousConnection() throws Exception {
        start("{}");
        Response silent = openStream(client.newCompletionCall("r", body("p", 300)));
        assertEquals(expected("p", 300, 1), events(client.complete("r", body("p", 300), "Last-Event-ID", "0")));
        assertThrows(IOException.class, () -> silent.body().string());
        assertEquals(List.of(RunOutcome.COMPLETED), outcomes());
        assertEquals(1, engine.counters().resumed());
    }

    @Test
    void streamsCanBeCancelled() throws Exception {
        start("{\"keepBrokenStreamsSeconds\":0}");
        openStream(client.newCompletionCall("r", body("p", 4_000))).close();
        await("r ends", () -> outcomes().equals(List.of(RunOutcome.DISCONNECTED)));
        Response open = openStream(client.newCompletionCall("q", body("p", 4_000)));
        assertTrue(client.send("POST", "/v1/cancel", "{\"request_id\":\"q\"}")
                .json()
                .path("cancelled")
                .asBoolean());
        assertThrows(IOException.class, () -> open.body().string());
        assertEquals(RunOutcome.CANCELLED, outcomes().get(1));
        assertEquals(
                "stream_not_found",
                client.complete("q", body("p", 4_000), "Last-Event-ID", "0").code());
    }

    @Test
    void runEndsAtItsDeadline() throws Exception {
        start("{}");
        String deadline = Instant.now().plusMillis(300).toString();
        assertThrows(IOException.class, () -> client.complete("r", body("p", 4_000), "X-Request-Deadline", deadline));
        assertEquals(List.of(RunOutcome.DEADLINE_PASSED), outcomes());
    }

    @Test
    void loadsOccupySlots() throws Exception {
        start("{\"slots\":2,\"loadMilliseconds\":100}");
        // Two concurrent loads compete for the one free slot: a load in progress must occupy its slot.
        String[] number = {"X-Fencing-Number", "1"};
        CompletableFuture<Answer> b =
                client.sendAsync("POST", "/v1/load_lora_adapter", "{\"lora_name\":\"a/b@v1\"}", number);
        CompletableFuture<Answer> c =
                client.sendAsync("POST", "/v1/load_lora_adapter", "{\"lora_name\":\"a/c@v1\"}", number);
        boolean firstWon = b.join().status() == 200;
        assertEquals(200, (firstWon ? b : c).join().status());
        assertEquals("no_free_slot", (firstWon ? c : b).join().code());
        assertEquals(200, client.load(ADAPTER, 1).status());
        String winner = firstWon ? "a/b@v1" : "a/c@v1";
        assertEquals("no_free_slot", client.load("a/d@v1", 1).code());
        assertEquals(200, client.unload(winner, 1).status());
        assertEquals(200, client.unload("a/never-loaded@v1", 1).status());
        assertEquals(200, client.load("a/c@v1", 1).status());
        assertEquals(400, client.load("a-c", 1).status());
    }

    @Test
    void loadFetchesFromTheWeightStore() throws Exception {
        PlainServiceStandIn store = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);
        store.start();
        try {
            start("{\"weightStore\":\"" + store.address() + "\"}");
            assertEquals("/adapters/assistant/tender/v1", store.record().get(0).path());
            store.setFault(PlainServiceFault.OUTAGE, 1);
            Answer failed = client.load("a/b@v1", 1);
            assertEquals(424, failed.status());
            assertEquals("load_failed", failed.code());
            assertFalse(client.status().path("loaded").has("a/b@v1"));
        } finally {
            store.stop();
        }
    }

    @Test
    void staleFencingNumberIsRejected() throws Exception {
        start("{}");
        assertEquals(
                200,
                client.send("POST", "/v1/role", "{\"role\":\"serve\"}", "X-Fencing-Number", "7")
                        .status());
        assertEquals(7, client.status().path("fence").asLong());
        assertEquals("fenced", client.load("a/b@v1", 6).code());
        assertEquals("fenced", client.unload(ADAPTER, 6).code());
        assertEquals(
                "fenced",
                client.send("POST", "/v1/role", "{\"role\":\"serve\"}").code());
        assertEquals(409, client.unload(ADAPTER, 6).status());
        assertEquals(200, client.unload(ADAPTER, 7).status());
        assertEquals(4, engine.counters().fenced());
    }

    @Test
    void staleFencingNumberIsAcceptedWithoutChecks() throws Exception {
        start("{\"checksFencing\":false}");
        assertEquals(200, client.load("a/b@v1", 9).status());
        assertEquals(200, client.unload("a/b@v1", 2).status());
        assertEquals(0, client.status().path("fence").asLong());
    }

    @Test
    void unloadInUseIsRecordedAndClosesStream() throws Exception {
        start("{\"batchLimit\":1}");
        Response open = openStream(client.newCompletionCall("r", body("p", 4_000)));
        CompletableFuture<Answer> waiting = client.completeAsync("q", body("p", 1));
        await("q waits", () -> client.status().path("waiting").asInt() == 1);
        assertEquals(1, client.status().path("loaded").path(ADAPTER).asInt());
        assertEquals(200, client.unload(ADAPTER, 1).status());
        assertThrows(IOException.class, () -> open.body().string());
        assertEquals("adapter_not_loaded", waiting.join().code());
        JsonNode violations = client.send("GET", "/record", "").json().path("violations");
        assertEquals("unloaded_in_use", violations.path(0).path("kind").asText());
        assertEquals("r", violations.path(0).path("request_ids").path(0).asText());
        assertEquals("unloaded_while_waiting", violations.path(1).path("kind").asText());
    }

    @Test
    void statusReportIsDelayedByLag() throws Exception {
        start("{\"statusLagMilliseconds\":600}");
        assertFalse(client.status().path("loaded").has(ADAPTER));
        await("report shows the load", () -> client.status().path("loaded").has(ADAPTER));
    }

    @Test
    void cacheEventsAreDelayedAndHaveGaps() throws Exception {
        start("{\"cacheEventLagMilliseconds\":2000,\"cacheEventGapEvery\":2,\"cachedPrefixes\":1}");
        long beginNanos = System.nanoTime();
        for (String prompt : List.of("a", "b", "a")) {
            client.complete("r", body(prompt, 1));
        }
        int visible = client.send("GET", "/v1/cache_events?from=0", "")
                .json()
                .path("events")
                .size();
        Duration elapsed = Duration.ofNanos(System.nanoTime() - beginNanos);
        assertTrue(visible == 0 || elapsed.toMillis() >= 2_000, visible + " events after " + elapsed);
        await(
                "events",
                () -> client.send("GET", "/v1/cache_events?from=0", "")
                                .json()
                                .path("next")
                                .asInt()
                        == 5);
        JsonNode events =
                client.send("GET", "/v1/cache_events?from=0", "").json().path("events");
        assertEquals(3, events.size());
        assertEquals(
                Long.toString(EngineText.prefixHash(ADAPTER, "a")),
                events.path(0).path("prefix").asText());
        assertEquals("evicted", events.path(1).path("kind").asText());
        assertEquals(2, events.path(1).path("number").asInt());
        assertEquals(
                1,
                client.send("GET", "/v1/cache_events?from=3", "")
                        .json()
                        .path("events")
                        .size());
    }

    @Test
    void engineProducesTwoThousandTokensPerSecond() throws Exception {
        start("{\"batchLimit\":64,\"stepMicroseconds\":1000,\"stepMicrosecondsPerRequest\":0}");
        long start = System.nanoTime();
        List<CompletableFuture<Answer>> all = java.util.stream.IntStream.range(0, 8)
                .mapToObj(i -> client.completeAsync("r" + i, body("p" + i, 1_000)))
                .toList();
        for (int i = 0; i < all.size(); i++) {
            assertEquals(expected("p" + i, 1_000, 0), events(all.get(i).join()));
        }
        double perSecond = 8_000 / ((System.nanoTime() - start) / 1e9);
        assertTrue(ranConcurrently(engine.record().runs()), "the requests did not run in the batch at the same time");
        System.out.printf("engine stand-in: %.0f tokens per second%n", perSecond);
        assertTrue(perSecond > 2_000, "tokens per second: " + perSecond);
    }

    private static boolean ranConcurrently(List<EngineRun> runs) {
        Instant lastStart =
                runs.stream().map(EngineRun::started).max(Instant::compareTo).orElseThrow();
        return runs.stream().allMatch(run -> run.ended().orElseThrow().isAfter(lastStart));
    }
}
