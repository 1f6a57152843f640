package org.banyanstair.server.http.operator;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.server.http.BearerKey;
import org.banyanstair.server.http.HttpListenerOptions;
import org.banyanstair.server.service.ClusterStatus;
import org.banyanstair.server.service.OperatorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OperatorHttpServerTest {
    private static final String CHANGE = "{\"changeId\":\"c1\",\"baseVersion\":-1,\"author\":\"forged\","
            + "\"operations\":[{\"operation\":\"UsePreset\",\"id\":\"peak\"}]}";

    private final FakeOperatorService service = new FakeOperatorService();
    private final MetricRegistry registry = new MetricRegistry();
    private OperatorHttpServer server;

    @BeforeEach
    void start() {
        registry.counter("events").inc();
        server = new OperatorHttpServer(
                HttpListenerOptions.withDefaults("127.0.0.1", 0),
                new OperatorKeys(Map.of("ada", List.of(BearerKey.ofPlain("operator-key")))),
                service,
                Optional::empty,
                () -> new BurnRateSnapshot(new HostId("entry-1"), Instant.EPOCH, List.of()),
                registry);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(Instant.now());
    }

    private HttpResponse<String> send(String key, String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .timeout(Duration.ofSeconds(5))
                .setHeader("Authorization", "Bearer " + key)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        return send("operator-key", method, "/operator/v1" + path, body);
    }

    /** Guards against changes submitted under another operator's name or without a key. */
    @Test
    void authorComesFromTheKey() throws Exception {
        service.verdict = new ChangeVerdict.Accepted(4);
        HttpResponse<String> response = send("POST", "/changes", CHANGE);
        assertEquals(200, response.statusCode(), response.body());
        assertEquals(service.verdict, Mappers.JSON.readValue(response.body(), ChangeVerdict.class));
        assertEquals("ada", service.submitted.author());
        service.submitted = null;
        assertEquals(401, send("wrong", "POST", "/operator/v1/changes", CHANGE).statusCode());
        assertEquals(null, service.submitted);
    }

    /** Guards against responses that do not distinguish a refused change from one with an unknown outcome. */
    @Test
    void refusalsHaveTheirStatusAndDetails() throws Exception {
        Map<Failure, Integer> expected = Map.of(
                new Failure.ConfigurationConflict(1, 2), 409,
                new Failure.InvalidChange("preset", "one of [a]"), 400,
                new Failure.LogUnavailable("configuration"), 503,
                new Failure.ChangeOutcomeUnknown("c1"), 504);
        for (Map.Entry<Failure, Integer> entry : expected.entrySet()) {
            service.verdict = new ChangeVerdict.Refused(entry.getKey());
            HttpResponse<String> response = send("POST", "/changes", CHANGE);
            assertEquals(entry.getValue(), response.statusCode(), response.body());
            String details = Mappers.JSON
                    .readTree(response.body())
                    .path("error")
                    .path("details")
                    .toString();
            assertEquals(entry.getKey(), Mappers.JSON.readValue(details, Failure.class));
        }
    }

    /** Guards against incomplete changes that are submitted with default values. */
    @Test
    void malformedChangesAreRefused() throws Exception {
        List<String> bodies = List.of(
                "{",
                CHANGE.replace("\"baseVersion\":-1,", ""),
                CHANGE.replace("c1", "a/b"),
                CHANGE.replace("peak", "PEAK"),
                CHANGE.replace("UsePreset", "Explode"),
                CHANGE.replace("\"id\":\"peak\"", "\"ids\":1"),
                CHANGE.replace("[{", "[null,{"));
        for (String body : bodies) {
            HttpResponse<String> response = send("POST", "/changes", body);
            assertEquals(400, response.statusCode(), body + " -> " + response.body());
        }
        assertEquals(null, service.submitted);
    }

    /** Guards against routes whose responses the command-line tool cannot read. */
    @Test
    void stateIsReadable() throws Exception {
        String configuration = send("GET", "/configuration", "").body();
        assertEquals(Configuration.INITIAL, Mappers.JSON.readValue(configuration, Configuration.class));
        assertEquals(404, send("GET", "/changes/c9", "").statusCode());
        service.verdict = new ChangeVerdict.Accepted(4);
        assertTrue(send("GET", "/changes/c1", "").body().contains("\"verdict\":\"Accepted\""));
        assertEquals("{\"hosts\":[],\"states\":[]}", send("GET", "/status", "").body());
        assertEquals("[]", send("GET", "/endpoints", "").body());
        assertTrue(send("GET", "/burn", "").body().contains("\"takenAt\":\"1970-01-01T00:00:00Z\""));
        assertEquals(202, send("POST", "/hosts/entry-2/drain", "").statusCode());
        assertEquals(503, send("POST", "/hosts/entry-9/drain", "").statusCode());
        HttpResponse<String> metrics = send("wrong", "GET", "/metrics", "");
        assertTrue(metrics.body().contains("events 1.0"), metrics.body());
        assertEquals(200, send("wrong", "GET", "/ready", "").statusCode());
        assertEquals(401, send("wrong", "GET", "/operator/v1/burn", "").statusCode());
    }

    private static final class FakeOperatorService implements OperatorService {
        private volatile ChangeVerdict verdict;
        private volatile ConfigurationChange submitted;

        @Override
        public Configuration configuration() {
            return Configuration.INITIAL;
        }

        @Override
        public CompletableFuture<ChangeVerdict> submit(ConfigurationChange change) {
            submitted = change;
            return CompletableFuture.completedFuture(verdict);
        }

        @Override
        public CompletableFuture<Optional<ChangeVerdict>> verdict(String changeId) {
            return CompletableFuture.completedFuture(Optional.ofNullable(verdict));
        }

        @Override
        public CompletableFuture<ClusterStatus> status() {
            return CompletableFuture.completedFuture(new ClusterStatus(List.of(), List.of()));
        }

        @Override
        public CompletableFuture<List<EndpointReport>> endpoints() {
            return CompletableFuture.completedFuture(List.of());
        }

        @Override
        public CompletableFuture<Optional<Failure>> drain(HostId host) {
            return CompletableFuture.completedFuture(
                    host.value().equals("entry-2") ? Optional.empty() : Optional.of(new Failure.HostUnreachable(host)));
        }
    }
}
