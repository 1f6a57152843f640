package org.banyanstair.external.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;

/** OkHttp client that applies a deadline to every call and never retries. Thread-safe. */
final class DeadlineHttpClient {
    private static final Duration IDLE_CONNECTION_LIFETIME = Duration.ofSeconds(30);

    private final OkHttpClient client;

    /**
     * Creates a client.
     *
     * @param maximumCalls maximum number of concurrent calls; further calls are queued, and the time in the queue
     *     counts against their deadline
     */
    DeadlineHttpClient(int maximumCalls) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(maximumCalls);
        dispatcher.setMaxRequestsPerHost(maximumCalls);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(
                        new ConnectionPool(maximumCalls, IDLE_CONNECTION_LIFETIME.toMillis(), TimeUnit.MILLISECONDS))
                .eventListenerFactory(DeadlineHttpClient::trackerOf)
                .addInterceptor(DeadlineHttpClient::requireTimeRemaining)
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                // OkHttp would otherwise retry silently if the server had closed the pooled connection.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                // These phases are covered by the deadline of the call.
                .connectTimeout(Duration.ZERO)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .build();
    }

    private static EventListener trackerOf(Call call) {
        return call.request().tag(SendTracker.class);
    }

    /**
     * Rejects a call whose deadline passed in the queue. OkHttp enforces deadlines asynchronously and might still send
     * it.
     */
    private static Response requireTimeRemaining(Interceptor.Chain chain) throws IOException {
        if (chain.call().timeout().deadlineNanoTime() - System.nanoTime() <= 0) {
            throw new InterruptedIOException("the deadline passed before the call was sent");
        }
        return chain.proceed(chain.request());
    }

    /**
     * Sends a request.
     *
     * @param timeRemaining time until the deadline, including the time in the queue
     * @return the result; never completes exceptionally
     */
    CompletableFuture<HttpCallResult> call(Request.Builder builder, Duration timeRemaining) {
        SendTracker tracker = new SendTracker();
        Call call = client.newCall(builder.tag(SendTracker.class, tracker).build());
        call.timeout().deadlineNanoTime(System.nanoTime() + timeRemaining.toNanos());
        CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException cause) {
                result.complete(
                        tracker.mayHaveSent()
                                ? new HttpCallResult.NoResponse(cause)
                                : new HttpCallResult.NotSent(cause));
            }

            @Override
            public void onResponse(Call answered, Response response) {
                result.complete(new HttpCallResult.Answered(response.code(), readBody(response)));
            }
        });
        return result;
    }

    private static Optional<byte[]> readBody(Response response) {
        try (response) {
            return Optional.of(response.body().bytes());
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /** Cancels calls in progress and releases threads and connections. */
    void stop() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
