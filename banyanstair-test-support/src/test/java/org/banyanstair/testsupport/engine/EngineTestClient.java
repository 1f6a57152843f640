package org.banyanstair.testsupport.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Call;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.banyanstair.codec.Mappers;
import org.banyanstair.model.NetworkAddress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls a stand-in over HTTP without the production clients, with one connection per call. */
public final class EngineTestClient {
    public static final String ADAPTER = "assistant/tender@v1";

    // The common pool has fewer threads than the tests have concurrent calls.
    private static final Executor CALL_EXECUTOR = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "engine-probe");
        thread.setDaemon(true);
        return thread;
    });

    private final NetworkAddress address;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofSeconds(10))
            .build();

    public EngineTestClient(NetworkAddress address) {
        this.address = address;
    }

    public record Answer(int status, String body) {
        public JsonNode json() throws IOException {
            return Mappers.JSON.readTree(body);
        }

        public String code() throws IOException {
            return json().path("error").path("code").asText();
        }
    }

    public Call call(String method, String path, String body, String... headers) {
        Request.Builder request = new Request.Builder()
                .url("http://" + address + path)
                .header("Connection", "close")
                .header("Content-Type", "application/json")
                .method(method, "GET".equals(method) ? null : RequestBody.create(body.getBytes()));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return client.newCall(request.build());
    }

    public Answer send(String method, String path, String body, String... headers) throws IOException {
        try (Response response = call(method, path, body, headers).execute()) {
            return new Answer(response.code(), response.body().string());
        }
    }

    public CompletableFuture<Answer> sendAsync(String method, String path, String body, String... headers) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return send(method, path, body, headers);
                    } catch (IOException exception) {
                        throw new IllegalStateException(exception);
                    }
                },
                CALL_EXECUTOR);
    }

    public Answer load(String adapter, long number) throws IOException {
        return send("POST", "/v1/load_lora_adapter", loraNameBody(adapter), "X-Fencing-Number", "" + number);
    }

    public Answer unload(String adapter, long number) throws IOException {
        return send("POST", "/v1/unload_lora_adapter", loraNameBody(adapter), "X-Fencing-Number", "" + number);
    }

    public Answer complete(String requestId, String body, String... headers) throws IOException {
        return send("POST", "/v1/completions", body, withRequestId(requestId, headers));
    }

    public CompletableFuture<Answer> completeAsync(String requestId, String body, String... headers) {
        return sendAsync("POST", "/v1/completions", body, withRequestId(requestId, headers));
    }

    public Call newCompletionCall(String requestId, String body) {
        return call("POST", "/v1/completions", body, "X-Request-Id", requestId);
    }

    public JsonNode status() throws IOException {
        return send("GET", "/v1/status", "").json();
    }

    private static String loraNameBody(String adapter) {
        return "{\"lora_name\":\"" + adapter + "\"}";
    }

    private static String[] withRequestId(String requestId, String... headers) {
        List<String> all = new ArrayList<>(List.of("X-Request-Id", requestId));
        all.addAll(List.of(headers));
        return all.toArray(new String[0]);
    }

    public static String body(String prompt, int maxTokens) {
        return body(prompt, maxTokens, "");
    }

    public static String body(String prompt, int maxTokens, String more) {
        return "{\"model\":\"" + ADAPTER + "\",\"stream\":true,\"prompt\":\"" + prompt + "\",\"max_tokens\":"
                + maxTokens + more + "}";
    }

    /** Returns the events as {@code id=text}; the text of a usage chunk is its completion_tokens. */
    public static List<String> events(Answer answer) throws IOException {
        assertEquals(200, answer.status(), answer.body());
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        List<String> texts = new ArrayList<>();
        for (String event : answer.body().split("\n\n")) {
            String[] lines = event.split("\n");
            if (lines.length == 2) {
                JsonNode chunk = Mappers.JSON.readTree(lines[1].substring("data: ".length()));
                JsonNode choice = chunk.path("choices").path(0);
                String text = choice.has("text")
                        ? choice.path("text").asText()
                        : choice.path("delta").path("content").asText();
                String usage = chunk.path("usage").path("completion_tokens").asText();
                texts.add(lines[0].substring("id: ".length()) + "=" + text + usage);
            }
        }
        return texts;
    }

    public static List<String> expected(String prompt, int maxTokens, int from) {
        List<String> tokens = EngineText.tokens(ADAPTER, prompt, maxTokens);
        List<String> events = new ArrayList<>();
        for (int i = from; i < maxTokens; i++) {
            events.add(i + "=" + tokens.get(i));
        }
        return events;
    }

    public static void await(String what, Callable<Boolean> condition) throws Exception {
        long limit = System.nanoTime() + Duration.ofSeconds(8).toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < limit, "not reached in 8 s: " + what);
            Thread.sleep(5);
        }
    }
}
