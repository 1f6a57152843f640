package org.banyanstair.server.http.caller;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.server.http.RawHttpClient;
import org.banyanstair.server.service.Generation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GenerationRouteTest extends CallerServerFixture {
    private static final String CHAT = "/v1/chat/completions";
    private static final String CHAT_BODY =
            "{\"model\":\"assistant/tender\",\"x_new\":{\"a\":1.10},\"stop\":[],\"max_tokens\":null,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":%s}";
    private static final String CHUNK =
            "{\"id\":\"e\",\"object\":\"chat.completion.chunk\",\"created\":9,\"model\":\"x\",\"choices\":"
                    + "[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"%s\"},\"finish_reason\":null}],"
                    + "\"usage\":null}";
    private static final String USAGE = "{\"id\":\"e\",\"object\":\"chat.completion.chunk\",\"created\":9,"
            + "\"model\":\"x\",\"choices\":[],\"usage\":{\"total_tokens\":3}}";
    private static final String LAST = "{\"id\":\"e\",\"object\":\"chat.completion.chunk\",\"created\":9,"
            + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}";

    private void answerChat(String... chunks) {
        service.generationHandler = (generation, sink) -> {
            for (int i = 0; i < chunks.length; i++) {
                sink.token(i, chunks[i]);
            }
            sink.completed();
        };
    }

    /** Guards against generations without the data that placement and the engine need. */
    @Test
    void generationCarriesTheWholeRequest() throws Exception {
        answerChat(LAST);
        send("POST", CHAT, CHAT_BODY.formatted(false), "X-Priority", "premium");
        send("POST", CHAT, CHAT_BODY.formatted(false), "X-Request-Deadline", "2026-12-04T12:01:00+02:00");
        Generation first = service.generations.remove();
        Generation second = service.generations.remove();
        assertEquals("assistant/tender@v2", first.adapter().engineName());
        assertEquals(PriorityClass.PREMIUM, first.priority());
        assertEquals(NOW.plusSeconds(60), first.deadline());
        assertEquals(NOW.plusSeconds(60), second.deadline());
        assertEquals(first.fingerprint(), second.fingerprint());
        assertEquals(32, first.fingerprint().value().length());
        assertEquals(first.prefix(), second.prefix());
        assertFalse(first.id().equals(second.id()));
        String body = new String(first.body());
        assertTrue(body.contains("\"x_new\":{\"a\":1.10}"), body);
        JsonNode json = Mappers.JSON.readTree(body);
        assertEquals("assistant/tender@v2", json.get("model").asText());
        assertTrue(json.get("stream").asBoolean());
        assertTrue(json.path("stream_options").path("include_usage").asBoolean());
    }

    /** Guards against malformed chat responses for clients without streaming. */
    @Test
    void chatChunksAreAssembled() throws Exception {
        String tool = "{\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,%s\"function\":{%s}}]}}]}";
        answerChat(
                CHUNK.formatted("Hel"),
                CHUNK.formatted("lo"),
                tool.formatted("\"id\":\"c1\",\"type\":\"function\",", "\"name\":\"f\",\"arguments\":\"{\\\"a\\\"\""),
                tool.formatted("", "\"arguments\":\":1}\""),
                LAST,
                USAGE);
        HttpResponse<String> response = send("POST", CHAT, CHAT_BODY.formatted(false));
        JsonNode answer = Mappers.JSON.readTree(response.body());
        assertEquals("chat.completion", answer.get("object").asText());
        assertEquals("assistant/tender@v2", answer.get("model").asText());
        assertEquals("assistant/tender@v2", header(response, "X-Adapter-Version"));
        assertEquals(
                "chatcmpl-" + header(response, "X-Request-Id"), answer.get("id").asText());
        assertEquals(9, answer.get("created").asInt());
        assertEquals(3, answer.path("usage").get("total_tokens").asInt());
        JsonNode choice = answer.get("choices").get(0);
        assertEquals("stop", choice.get("finish_reason").asText());
        assertEquals(
                "{\"role\":\"assistant\",\"content\":\"Hello\",\"tool_calls\":[{\"id\":\"c1\",\"type\":\"function\","
                        + "\"function\":{\"name\":\"f\",\"arguments\":\"{\\\"a\\\":1}\"}}]}",
                choice.get("message").toString());
    }

    /** Guards against text completions that mix up choices. */
    @Test
    void completionChunksAreAssembled() throws Exception {
        String chunk = "{\"choices\":[{\"index\":%d,\"text\":\"%s\",\"logprobs\":{\"tokens\":[\"%s\"]}}]}";
        answerChat(chunk.formatted(1, "B", "B"), chunk.formatted(0, "a", "a"), chunk.formatted(0, "b", "b"));
        HttpResponse<String> response =
                send("POST", "/v1/completions", "{\"model\":\"assistant/tender@v1\",\"prompt\":\"p\",\"n\":2}");
        assertEquals("assistant/tender@v1", header(response, "X-Adapter-Version"));
        assertTrue(response.body().contains("\"object\":\"text_completion\""), response.body());
        assertEquals(
                "[{\"index\":0,\"text\":\"ab\",\"logprobs\":{\"tokens\":[\"a\",\"b\"]},\"finish_reason\":null},"
                        + "{\"index\":1,\"text\":\"B\",\"logprobs\":{\"tokens\":[\"B\"]},\"finish_reason\":null}]",
                Mappers.JSON.readTree(response.body()).get("choices").toString());
    }

    /**
     * Guards against streams with varying ids or models, without an end marker, or with usage that was not requested.
     */
    @Test
    void streamHasStableIdModelAndEnd() throws Exception {
        answerChat(CHUNK.formatted("a\\nb"), LAST, USAGE);
        HttpResponse<String> response = send("POST", CHAT, CHAT_BODY.formatted(true));
        String id = "chatcmpl-" + header(response, "X-Request-Id");
        List<String> events = List.of(response.body().split("\n\n"));
        assertEquals(3, events.size(), response.body());
        assertEquals("data: [DONE]", events.get(2));
        assertTrue(events.get(0).startsWith("data: {\"id\":\"" + id + "\",\"model\":\"assistant/tender@v2\","));
        assertTrue(events.get(0).contains("\"content\":\"a\\nb\""), events.get(0));
        assertTrue(events.get(1).contains(id) && !response.body().contains("usage"), response.body());
        String wanted = CHAT_BODY.formatted("true,\"stream_options\":{\"include_usage\":true}");
        assertTrue(send("POST", CHAT, wanted).body().contains("\"usage\":{\"total_tokens\":3}}"));
    }

    /** Guards against broken streams that are reported as not run, or as complete. */
    @Test
    void failureWhileStreamingEndsWithoutDone() throws Exception {
        service.generationHandler = (generation, sink) -> {
            sink.token(0, CHUNK.formatted("a"));
            sink.failed(new Failure.EndpointFailed(new EndpointId("runner-1")));
        };
        HttpResponse<String> response = send("POST", CHAT, CHAT_BODY.formatted(true));
        assertEquals(200, response.statusCode());
        assertTrue(response.body().contains("data: {\"error\":{\"message\""), response.body());
        assertFalse(response.body().contains("[DONE]"), response.body());
        HttpResponse<String> whole = send("POST", CHAT, CHAT_BODY.formatted(false));
        assertEquals(504, whole.statusCode());
        assertEquals("unknown", header(whole, "X-Outcome"));
    }

    /** Guards against failures before the first token that are reported as the start of a stream. */
    @Test
    void failureBeforeStreamingHasItsStatus() throws Exception {
        service.generationHandler = (generation, sink) -> sink.failed(new Failure.QueueFull(new PoolId("p"), 3));
        HttpResponse<String> response = send("POST", CHAT, CHAT_BODY.formatted(true));
        assertEquals(429, response.statusCode());
        assertEquals("not-run", header(response, "X-Outcome"));
        assertEquals("", header(response, "X-Adapter-Version"));
        service.generationHandler = (generation, sink) -> sink.failed(new Failure.DeadlinePassed(NOW));
        assertEquals(503, send("POST", CHAT, CHAT_BODY.formatted(true)).statusCode());
    }

    /** Guards against engines that continue to generate for callers that have disconnected. */
    @Test
    void disconnectCancelsGeneration() throws Exception {
        service.generationHandler = (generation, sink) -> sink.token(0, CHUNK.formatted("a"));
        try (RawHttpClient client = new RawHttpClient(server.port())) {
            client.request("POST", CHAT, AUTHORIZATION, CHAT_BODY.formatted(true));
            client.readUntil("\"content\":\"a\"");
            assertEquals(1, service.cancelled.getCount());
        }
        assertTrue(service.cancelled.await(5, TimeUnit.SECONDS));
    }

    /** Guards against unbounded buffering of tokens for a caller that does not read. */
    @Test
    void slowReaderIsCancelled() throws Exception {
        service.generationHandler = (generation, sink) -> {
            String chunk = CHUNK.formatted("x".repeat(20_000));
            for (int i = 0; i < 5_000 && service.cancelled.getCount() > 0; i++) {
                sink.token(i, chunk);
            }
        };
        try (RawHttpClient client = new RawHttpClient(server.port())) {
            client.request("POST", CHAT, AUTHORIZATION, CHAT_BODY.formatted(true));
            assertTrue(service.cancelled.await(5, TimeUnit.SECONDS));
        }
    }

    /** Guards against invalid fields that reach an engine, and against errors that do not name the accepted values. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'max_tokens':0 | max_tokens must be a whole number from 1 to 4096",
                "'max_tokens':4097 | max_tokens must be a whole number from 1 to 4096",
                "'max_tokens':'5' | max_tokens must be a whole number from 1 to 4096",
                "'temperature':2.5 | temperature must be a number from 0 to 2",
                "'stream':1 | stream must be true or false",
                "'stop':[1] | stop must be a string or a list of at most 4 strings",
                "'messages':[] | messages must be a list of at least one object",
                "'model':'tender' | model must be service/adapter",
            })
    void wrongFieldIsNamed(String field, String message) throws Exception {
        String body = CHAT_BODY.formatted(false).replace("\"x_new\":{\"a\":1.10}", "\"user\":\"u\"");
        String name = field.substring(1, field.indexOf('\'', 1));
        body = body.replace("\"" + name + "\":", "\"old_" + name + "\":");
        HttpResponse<String> response =
                send("POST", CHAT, body.substring(0, body.length() - 1) + "," + field.replace('\'', '"') + "}");
        assertEquals(400, response.statusCode(), response.body());
        assertTrue(response.body().contains(message), response.body());
        assertTrue(response.body().contains("\"param\":\"" + name + "\""), response.body());
        assertTrue(service.generations.isEmpty());
    }

    /** Tokens sent before the measurement, so that it excludes JIT compilation. */
    private static final int WARM_UP = 1_000;

    /** Guards against token latency added by the HTTP layer, for instance by waiting for full buffers. */
    @Test
    void tokensPassWithoutDelay() throws Exception {
        BlockingQueue<Integer> next = new LinkedBlockingQueue<>();
        service.generationHandler = (generation, sink) -> {
            for (int i = 0; i < WARM_UP + 50; i++) {
                try {
                    next.take();
                } catch (InterruptedException exception) {
                    return;
                }
                sink.token(i, CHUNK.formatted("t" + i + "."));
            }
            sink.completed();
        };
        try (RawHttpClient client = new RawHttpClient(server.port())) {
            client.request("POST", CHAT, AUTHORIZATION, CHAT_BODY.formatted(true));
            long[] latencies = new long[50];
            for (int i = 0; i < WARM_UP + 50; i++) {
                long start = System.nanoTime();
                next.add(i);
                client.readUntil("t" + i + ".");
                if (i >= WARM_UP) {
                    latencies[i - WARM_UP] = System.nanoTime() - start;
                }
            }
            client.readUntil("data: [DONE]\n\n");
            Arrays.sort(latencies);
            // Limit of the added median latency in the design.
            assertTrue(latencies[25] < Duration.ofMillis(2).toNanos(), "median of " + latencies[25] + " ns");
        }
    }
}
