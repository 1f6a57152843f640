package org.banyanstair.testsupport.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.banyanstair.codec.Mappers;
import org.banyanstair.model.NetworkAddress;

/**
 * HTTP client of the caller protocol. Thread-safe; never retries a request.
 *
 * <p>Futures of requests complete normally whatever the response is. Each call in flight occupies one thread.
 */
public final class HttpCaller implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient client;
    private final InstantSource instants;

    /**
     * Creates a client.
     *
     * @param maximumCalls maximum number of calls in flight; further ones are queued
     * @param callTimeout timeout of a call, including its stream
     * @param instants clock for send and token times
     */
    public HttpCaller(int maximumCalls, Duration callTimeout, InstantSource instants) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(maximumCalls);
        dispatcher.setMaxRequestsPerHost(maximumCalls);
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .callTimeout(callTimeout)
                .readTimeout(callTimeout)
                .build();
        this.instants = instants;
    }

    /**
     * Requests a chat completion.
     *
     * @param entry caller address of an entry host
     * @return {@link CallerResult.Generated}, {@link CallerResult.NotRun} or {@link CallerResult.Unknown}
     */
    public CompletableFuture<CallerResult> chat(NetworkAddress entry, ChatCall call) {
        Request request = request(entry, "/v1/chat/completions", call.headers())
                .post(RequestBody.create(chatBody(call), JSON))
                .build();
        return execute(request, ResponseReader::readChat);
    }

    /**
     * Requests a text completion.
     *
     * @param entry caller address of an entry host
     * @return {@link CallerResult.Generated}, {@link CallerResult.NotRun} or {@link CallerResult.Unknown}
     */
    public CompletableFuture<CallerResult> complete(NetworkAddress entry, ChatCall call) {
        ObjectNode body = body(call);
        body.put("prompt", call.prompt());
        Request request = request(entry, "/v1/completions", call.headers())
                .post(RequestBody.create(bytes(body), JSON))
                .build();
        return execute(request, ResponseReader::readChat);
    }

    /**
     * Requests a chat completion directly from an engine.
     *
     * @param engine address of the engine
     * @param requestId must not have been used at this engine
     * @param call its model is a loaded adapter, {@code service/adapter@version}
     * @return {@link CallerResult.Generated}, {@link CallerResult.NotRun} or {@link CallerResult.Unknown}
     */
    public CompletableFuture<CallerResult> chatWithEngine(NetworkAddress engine, String requestId, ChatCall call) {
        Request request = request(engine, "/v1/chat/completions", call.headers())
                .header("X-Request-Id", requestId)
                .post(RequestBody.create(chatBody(call), JSON))
                .build();
        return execute(request, ResponseReader::readChat);
    }

    /**
     * Calls a plain service.
     *
     * @param entry caller address of an entry host
     * @return {@link CallerResult.ServiceAnswered}, {@link CallerResult.NotRun} or {@link CallerResult.Unknown}
     */
    public CompletableFuture<CallerResult> call(NetworkAddress entry, ServiceRequest call) {
        boolean withoutBody = call.method().equals("GET") || call.method().equals("HEAD");
        MediaType type = call.contentType().map(MediaType::get).orElse(null);
        Request request = request(entry, "/services/" + call.service() + call.path(), call.headers())
                .method(call.method(), withoutBody ? null : RequestBody.create(call.body(), type))
                .build();
        return execute(request, ResponseReader::readService);
    }

    /**
     * Reads the addresses of the entry hosts without a bearer key.
     *
     * @param entry caller address of an entry host
     * @return completes exceptionally if the addresses cannot be read
     */
    public CompletableFuture<EntryList> entryAddresses(NetworkAddress entry) {
        return entryAddresses(
                new Request.Builder().url("http://" + entry + "/v1/entry").build());
    }

    /**
     * Reads the addresses of the entry hosts with a bearer key.
     *
     * @param entry caller address of an entry host
     * @param headers the headers; entry hosts require a bearer key
     * @return completes exceptionally if the addresses cannot be read
     */
    public CompletableFuture<EntryList> entryAddresses(NetworkAddress entry, CallerHeaders headers) {
        return entryAddresses(request(entry, "/v1/entry", headers).build());
    }

    private CompletableFuture<EntryList> entryAddresses(Request request) {
        CompletableFuture<EntryList> result = new CompletableFuture<>();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                result.completeExceptionally(exception);
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    result.complete(
                            entryList(Mappers.JSON.readTree(response.body().string())));
                } catch (IOException | RuntimeException exception) {
                    result.completeExceptionally(exception);
                }
            }
        });
        return result;
    }

    private static EntryList entryList(JsonNode json) {
        List<NetworkAddress> addresses = new ArrayList<>();
        json.path("addresses")
                .forEach(node -> addresses.add(NetworkAddress.parse(
                        node.isTextual() ? node.asText() : node.path("address").asText())));
        return new EntryList(addresses, Instant.parse(json.path("keep_until").asText()));
    }

    private static Request.Builder request(NetworkAddress entry, String path, CallerHeaders headers) {
        Request.Builder builder = new Request.Builder()
                .url("http://" + entry + path)
                .header("Authorization", "Bearer " + headers.bearerKey());
        headers.deadline().ifPresent(deadline -> builder.header("X-Request-Deadline", deadline.toString()));
        headers.priority()
                .ifPresent(
                        priority -> builder.header("X-Priority", priority.name().toLowerCase(Locale.ROOT)));
        headers.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder;
    }

    private static byte[] chatBody(ChatCall call) {
        ObjectNode body = body(call);
        body.putArray("messages").addObject().put("role", "user").put("content", call.prompt());
        return bytes(body);
    }

    private static ObjectNode body(ChatCall call) {
        ObjectNode body = Mappers.JSON.createObjectNode();
        return body.put("model", call.model())
                .put("max_tokens", call.maximumTokens())
                .put("stream", call.stream());
    }

    private static byte[] bytes(ObjectNode body) {
        try {
            return Mappers.JSON.writeValueAsBytes(body);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private CompletableFuture<CallerResult> execute(Request request, Function<ResponseReader, CallerResult> reader) {
        CompletableFuture<CallerResult> result = new CompletableFuture<>();
        Instant sentAt = instants.instant();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                // The connection failed before any byte was sent, so the request did not run.
                result.complete(
                        exception instanceof ConnectException
                                ? new CallerResult.NotRun(Optional.empty(), 0, "connect_failed")
                                : new CallerResult.Unknown(
                                        Optional.empty(), 0, ResponseReader.CONNECTION_LOST, List.of()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    result.complete(reader.apply(new ResponseReader(response, sentAt, instants)));
                } catch (RuntimeException exception) {
                    result.completeExceptionally(exception);
                }
            }
        });
        return result;
    }

    /** Cancels the calls in flight and closes all connections. */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
