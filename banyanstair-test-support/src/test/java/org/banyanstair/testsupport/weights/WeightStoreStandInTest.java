package org.banyanstair.testsupport.weights;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;

import org.banyanstair.testsupport.fault.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against loads that ignore the transfer time or the injected failures. */
class WeightStoreStandInTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private WeightStoreStandIn store;

    @BeforeEach
    void start() {
        store = new WeightStoreStandIn(0, WeightStoreSettings.DEFAULT.withLoadsPerSecond(100));
        store.start();
    }

    @AfterEach
    void stop() {
        store.stop();
    }

    @Test
    void loadTakesTheTransferTime() throws Exception {
        Instant start = Instant.now();
        HttpResponse<String> response = get("/adapters/assistant/tender/v1");
        assertTrue(Duration.between(start, Instant.now()).toMillis() >= 250);
        assertEquals(WeightStoreSettings.DEFAULT.adapterBytes(), response.body().length());
        assertTrue(response.body().startsWith("assistant/tender@v1"));
    }

    @Test
    void failuresApplyToConfiguredAdaptersAndCount() throws Exception {
        store.setFaults(new WeightStoreFaults(Faults.NONE, 1, 0, 0, Set.of("assistant/bad@v1")));
        assertEquals(500, get("/adapters/assistant/bad/v1").statusCode());
        assertEquals(500, get("/adapters/assistant/tender/v1").statusCode());
        assertEquals(200, get("/adapters/assistant/tender/v1").statusCode());
        assertEquals(500, get("/adapters/assistant/bad/v1").statusCode());
        assertEquals(3, store.counters().get("failedLoads"));
    }

    @Test
    void malformedNamesAreRefused() throws Exception {
        assertEquals(400, get("/adapters/assistant/tender/v%201").statusCode());
    }

    private HttpResponse<String> get(String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + store.server().address() + path))
                .timeout(Duration.ofSeconds(5))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
