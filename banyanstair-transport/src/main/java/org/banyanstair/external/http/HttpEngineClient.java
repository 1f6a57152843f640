package org.banyanstair.external.http;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.external.Cancellation;
import org.banyanstair.external.EngineClient;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineRequest;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.external.GenerationResult;
import org.banyanstair.external.TokenListener;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;

/**
 * Engine client over HTTP, based on OkHttp. It sends each command and each request at most once.
 *
 * <p>Each stream occupies one thread with a stack of 128 KiB, on which its listener is called. Idle threads terminate
 * by themselves; {@link #stop} ends all calls.
 */
public final class HttpEngineClient implements EngineClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long MAXIMUM_STATUS_BYTES = 4 << 20;

    private final EngineClientTimeouts timeouts;
    private final EndpointHttpClient httpClient;
    private final Set<GenerationCall> generations = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService stallDetector = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-silence-watch");
        thread.setDaemon(true);
        return thread;
    });

    /** Creates a client with the given timeouts. */
    public HttpEngineClient(EngineClientTimeouts timeouts) {
        this.timeouts = timeouts;
        this.httpClient = new EndpointHttpClient("engine-call", timeouts.connect());
        // One periodic scan replaces a read timeout per stream: okio enters such a timeout into a sorted list for each
        // token, which took about twice the processor time with 1,000 streams of 32 tokens per second.
        long period = Math.max(10, Math.min(250, timeouts.token().toMillis() / 8));
        stallDetector.scheduleWithFixedDelay(this::cancelStalled, period, period, TimeUnit.MILLISECONDS);
    }

    /** Ends all calls and stops the threads of the client. */
    public void stop() {
        httpClient.stop();
        stallDetector.shutdownNow();
    }

    @Override
    public CompletableFuture<EngineCommandResult> load(Endpoint endpoint, AdapterVersion adapter, long term) {
        return sendCommand(
                endpoint, "/v1/load_lora_adapter", Map.of("lora_name", adapter.engineName()), term, response -> {
                    return "load_failed".equals(response.code())
                            ? new Failure.AdapterLoadFailed(adapter)
                            : refusal(endpoint, term, response);
                });
    }

    @Override
    public CompletableFuture<EngineCommandResult> unload(Endpoint endpoint, AdapterVersion adapter, long term) {
        Map<String, String> body = Map.of("lora_name", adapter.engineName());
        return sendCommand(
                endpoint, "/v1/unload_lora_adapter", body, term, response -> refusal(endpoint, term, response));
    }

    @Override
    public CompletableFuture<EngineCommandResult> raiseFence(Endpoint endpoint, long term) {
        return sendCommand(
                endpoint, "/v1/role", Map.of("role", "serve"), term, response -> refusal(endpoint, term, response));
    }

    @Override
    public CompletableFuture<EngineStatus> status(Endpoint endpoint) {
        CompletableFuture<EngineStatus> future = new CompletableFuture<>();
        Request request = request(endpoint, "/v1/status").build();
        Consumer<Failure> fail = failure -> future.completeExceptionally(new FailureException(failure));
        EndpointHttpClient.SendState sendState = new EndpointHttpClient.SendState();
        enqueue(request, sendState, timeouts.status(), new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                fail.accept(
                        sendState.isSent()
                                ? new Failure.EndpointFailed(endpoint.id())
                                : new Failure.EndpointUnreachable(endpoint.id()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    byte[] body = EndpointHttpClient.readBody(response, MAXIMUM_STATUS_BYTES);
                    if (response.code() == 200) {
                        future.complete(parseStatus(Mappers.JSON.readTree(body)));
                    } else {
                        fail.accept(new Failure.EndpointRefused(endpoint.id(), response.code()));
                    }
                } catch (IOException | FailureException exception) {
                    fail.accept(new Failure.EndpointFailed(endpoint.id()));
                }
            }
        });
        return future;
    }

    @Override
    public Cancellation generate(Endpoint endpoint, EngineRequest request, TokenListener listener) {
        if (EndpointHttpClient.hasPassed(request.deadline())) {
            listener.end(new GenerationResult.NotStarted(new Failure.DeadlinePassed(request.deadline())));
            return () -> {};
        }
        if (httpClient.isFull()) {
            listener.end(new GenerationResult.NotStarted(new Failure.EndpointUnreachable(endpoint.id())));
            return () -> {};
        }
        Request httpRequest;
        try {
            httpRequest = toHttpRequest(endpoint, request);
        } catch (IllegalArgumentException exception) {
            Failure failure = new Failure.InvalidField("request", "a request id and a path that HTTP can carry");
            listener.end(new GenerationResult.NotStarted(failure));
            return () -> {};
        }
        return start(endpoint, request, httpRequest, listener);
    }

    private Cancellation start(Endpoint endpoint, EngineRequest request, Request httpRequest, TokenListener listener) {
        EndpointHttpClient.SendState sendState = new EndpointHttpClient.SendState();
        GenerationCall[] self = new GenerationCall[1];
        GenerationCall generation =
                new GenerationCall(endpoint, request, listener, sendState, () -> generations.remove(self[0]));
        self[0] = generation;
        generations.add(generation);
        generation.start(httpClient.newCall(httpRequest, sendState, request.deadline()));
        return () -> {
            if (generations.contains(generation) && generation.cancel()) {
                sendCancel(endpoint, request);
            }
        };
    }

    private static Request toHttpRequest(Endpoint endpoint, EngineRequest request) {
        Request.Builder builder = request(endpoint, request.path())
                .header("X-Request-Id", request.requestId().value())
                .header("X-Priority", request.priority().name().toLowerCase(Locale.ROOT))
                .header("X-Request-Deadline", request.deadline().toString())
                .header("Accept", "text/event-stream")
                .post(RequestBody.create(request.body(), JSON));
        if (request.resumes()) {
            builder.header("Last-Event-ID", Long.toString(request.nextToken() - 1));
        }
        return builder.build();
    }

    /**
     * Asks the engine to cancel the request. Best effort: without the command, the engine cancels the stream some time
     * after the connection has closed.
     */
    private void sendCancel(Endpoint endpoint, EngineRequest request) {
        Request cancel = request(endpoint, "/v1/cancel")
                .post(json(Map.of("request_id", request.requestId().value())))
                .build();
        enqueue(cancel, new EndpointHttpClient.SendState(), timeouts.status(), new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                // The result of the command is not needed.
            }

            @Override
            public void onResponse(Call call, Response response) {
                response.close();
            }
        });
    }

    private CompletableFuture<EngineCommandResult> sendCommand(
            Endpoint endpoint,
            String path,
            Map<String, String> body,
            long term,
            Function<EngineResponse, Failure> refusal) {
        CompletableFuture<EngineCommandResult> future = new CompletableFuture<>();
        EndpointHttpClient.SendState sendState = new EndpointHttpClient.SendState();
        Request request = request(endpoint, path)
                .header("X-Fencing-Number", Long.toString(term))
                .post(json(body))
                .build();
        enqueue(request, sendState, timeouts.command(), new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                future.complete(
                        sendState.isSent()
                                ? new EngineCommandResult.Unknown(new Failure.EndpointFailed(endpoint.id()))
                                : new EngineCommandResult.Refused(new Failure.EndpointUnreachable(endpoint.id())));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    future.complete(result(endpoint, EngineResponse.read(response), refusal));
                } catch (IOException exception) {
                    onFailure(call, exception);
                }
            }
        });
        return future;
    }

    private static EngineCommandResult result(
            Endpoint endpoint, EngineResponse response, Function<EngineResponse, Failure> refusal) {
        if (response.isSuccess()) {
            return new EngineCommandResult.Done();
        }
        return response.hadNoEffect()
                ? new EngineCommandResult.Refused(refusal.apply(response))
                : new EngineCommandResult.Unknown(new Failure.EndpointFailed(endpoint.id()));
    }

    private static Failure refusal(Endpoint endpoint, long term, EngineResponse response) {
        return "fenced".equals(response.code())
                ? new Failure.OrderFenced(endpoint.id(), term)
                : new Failure.EndpointRefused(endpoint.id(), response.status());
    }

    private void enqueue(Request request, EndpointHttpClient.SendState sendState, Duration timeout, Callback callback) {
        httpClient.newCall(request, sendState, Instant.now().plus(timeout)).enqueue(callback);
    }

    private void cancelStalled() {
        long now = System.nanoTime();
        long timeout = timeouts.token().toNanos();
        for (GenerationCall generation : generations) {
            generation.cancelIfStalled(now, timeout);
        }
    }

    private static Request.Builder request(Endpoint endpoint, String path) {
        return new Request.Builder().url("http://" + endpoint.address() + path);
    }

    private static RequestBody json(Map<String, String> body) {
        try {
            return RequestBody.create(Mappers.JSON.writeValueAsBytes(body), JSON);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static EngineStatus parseStatus(JsonNode json) throws IOException {
        if (!json.path("incarnation").isIntegralNumber() || !json.path("loaded").isObject()) {
            throw new IOException("engine status report is malformed");
        }
        Map<AdapterVersion, Integer> loaded = new HashMap<>();
        json.path("loaded")
                .fields()
                .forEachRemaining(each -> loaded.put(
                        AdapterVersion.parse(each.getKey()), each.getValue().asInt()));
        return new EngineStatus(
                json.path("incarnation").asLong(),
                json.path("slots").asInt(),
                json.path("batch_limit").asInt(),
                loaded,
                json.path("running").asInt(),
                json.path("fence").asLong());
    }
}
