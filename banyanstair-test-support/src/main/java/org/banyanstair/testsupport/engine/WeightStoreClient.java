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
    /** Longer than a load takes when the store is overloaded, so that a silent store ends the load. */
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
        // The engine limits its loads by its slots; OkHttp alone would allow 5 calls to one host.
        client.dispatcher().setMaxRequestsPerHost(client.dispatcher().getMaxRequests());
    }

    /** Fetches {@code service/adapter@version}; the result comes on another thread. */
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
