package org.banyanstair.testsupport.engine;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.function.Consumer;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.Okio;

/** Fetches adapters from the weight store. */
final class WeightStoreClient {
    /** Exceeds the duration of a load from an overloaded store; ends loads from a store that does not respond. */
    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(30);

    private final String address;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .proxy(Proxy.NO_PROXY)
            .callTimeout(FETCH_TIMEOUT)
            .readTimeout(FETCH_TIMEOUT)
            .retryOnConnectionFailure(false)
            .build();

    WeightStoreClient(String address) {
        this.address = address;
        // The adapter slots limit concurrent loads; OkHttp's default of 5 calls per host would be lower.
        client.dispatcher().setMaxRequestsPerHost(client.dispatcher().getMaxRequests());
    }

    /**
     * Fetches {@code service/adapter@version} asynchronously.
     *
     * @param onComplete receives on an HTTP client thread whether the whole adapter was received
     */
    void fetch(String adapter, Consumer<Boolean> onComplete) {
        String url = "http://" + address + "/adapters/" + adapter.replace('@', '/');
        client.newCall(new Request.Builder().url(url).build()).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                onComplete.accept(false);
            }

            @Override
            public void onResponse(Call call, Response response) {
                onComplete.accept(isCompleteResponse(response));
            }
        });
    }

    void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private static boolean isCompleteResponse(Response response) {
        try (response) {
            response.body().source().readAll(Okio.blackhole());
            return response.isSuccessful();
        } catch (IOException exception) {
            return false;
        }
    }
}
