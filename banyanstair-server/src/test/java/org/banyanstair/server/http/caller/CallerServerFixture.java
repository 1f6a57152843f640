package org.banyanstair.server.http.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.server.http.BearerKey;
import org.banyanstair.server.http.HttpListenerOptions;
import org.banyanstair.server.http.metrics.BurnRateRecorder;
import org.banyanstair.server.http.metrics.RequestMetrics;
import org.banyanstair.server.http.metrics.RequestRecorder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Test fixture with a caller server in front of a fake service. */
abstract class CallerServerFixture {
    static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    static final String CLERK_KEY = "clerk-key";
    static final String AUTHORIZATION = "Authorization: Bearer " + CLERK_KEY + "\r\n";

    final FakeCallerService service = new FakeCallerService();
    final MetricRegistry registry = new MetricRegistry();
    CallerHttpServer server;

    @BeforeEach
    void start() {
        HostId host = new HostId("entry-1");
        Clock clock = Clock.fixed(NOW, ZoneOffset.UTC);
        BurnRateRecorder burn = new BurnRateRecorder(host, clock, service::configuration);
        CallerKeys keys = new CallerKeys(Map.of(
                FakeCallerService.CLERK, List.of(BearerKey.ofPlain(CLERK_KEY)),
                FakeCallerService.MEMBER, List.of(BearerKey.ofDigest(DigestUtils.sha256Hex("member-key")))));
        server = new CallerHttpServer(
                new HostIdentity(host, 7),
                HttpListenerOptions.withDefaults("127.0.0.1", 0),
                keys,
                service,
                new RequestRecorder(host, new RequestMetrics(registry), burn),
                new DeadlinePolicy(clock, Duration.ofSeconds(60), Duration.ofMinutes(10)));
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(Instant.now());
    }

    HttpResponse<String> send(String method, String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .timeout(Duration.ofSeconds(5))
                .setHeader("Authorization", "Bearer " + CLERK_KEY)
                .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }
}
