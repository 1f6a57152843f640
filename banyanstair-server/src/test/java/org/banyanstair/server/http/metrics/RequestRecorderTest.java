package org.banyanstair.server.http.metrics;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.Operation;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.metrics.PrometheusText;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestRecorderTest {
    private static final CallerId CLERK = new CallerId("clerk");
    private static final ServiceDeclaration SERVICE = new ServiceDeclaration(
            new ServiceId("order.desk"),
            ServiceKind.PLAIN,
            new PoolId("desk"),
            Set.of(CLERK),
            List.of(),
            Objective.DEFAULT,
            1,
            1);
    private static final Configuration CONFIGURATION =
            Configuration.INITIAL.apply(0, List.of(new Operation.PutService(SERVICE)));

    private final MetricRegistry registry = new MetricRegistry();
    private Instant now = Instant.parse("2026-12-04T10:00:00Z");
    private final Clock clock = new Clock() {
        @Override
        public ZoneOffset getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    };
    private final BurnRateRecorder burn = new BurnRateRecorder(new HostId("entry-1"), clock, () -> CONFIGURATION);
    private final RequestRecorder recorder =
            new RequestRecorder(new HostId("entry-1"), new RequestMetrics(registry), burn);

    private void end(int status, String code, int milliseconds, Optional<Duration> untilFirstToken) {
        recorder.record(new RequestSummary(
                new RequestId("r"),
                Optional.of(CLERK),
                Optional.of(SERVICE),
                Optional.empty(),
                status,
                code,
                Duration.ofMillis(milliseconds),
                untilFirstToken,
                Duration.ZERO));
    }

    private BurnRateSample sample(int index) {
        return burn.snapshot().samples().get(index);
    }

    /** Guards against caller errors or long responses that consume the error budget of a service. */
    @Test
    void burnCountsWhatTheObjectiveCovers() {
        end(200, RequestSummary.OK, 420, Optional.empty());
        end(200, RequestSummary.OK, 421, Optional.empty());
        end(200, RequestSummary.OK, 9_000, Optional.of(Duration.ofMillis(100)));
        end(503, "queue_full", 1, Optional.empty());
        List.of(400, 401, 403, 404, 413, 499).forEach(status -> end(status, "caller_error", 1, Optional.empty()));
        end(499, "cancelled", 421, Optional.empty());
        end(499, "cancelled", 421, Optional.of(Duration.ofMillis(420)));
        end(500, RequestSummary.SERVICE_ERROR, 1, Optional.empty());
        assertEquals(6, sample(0).requests());
        assertEquals(2, sample(0).good());
        assertEquals(
                Map.of("queue_full", 1L, "cancelled", 1L, "service_error", 1L),
                sample(0).failures());
    }

    /** Guards against windows that retain expired minutes or lose recent ones. */
    @Test
    void windowsForgetOldMinutes() {
        end(200, RequestSummary.OK, 1, Optional.empty());
        now = now.plus(Duration.ofMinutes(5));
        end(200, RequestSummary.OK, 1, Optional.empty());
        assertEquals(List.of(5, 60, 360), BurnRateRecorder.WINDOWS_MINUTES);
        assertEquals(1, sample(0).requests());
        assertEquals(2, sample(1).requests());
        now = now.plus(Duration.ofMinutes(355));
        end(200, RequestSummary.OK, 1, Optional.empty());
        assertEquals(2, sample(2).requests());
    }

    /** Guards against metrics that Prometheus cannot parse, or that lose the service or the code. */
    @Test
    void metricsCarryLabels() {
        end(429, "queue_full", 10, Optional.empty());
        end(200, RequestSummary.OK, 10, Optional.empty());
        recorder.metrics().recordFirstToken(SERVICE.id(), Duration.ofMillis(100));
        recorder.metrics().recordTokenGap(SERVICE.id(), Duration.ofMillis(40));
        recorder.metrics().registerInFlightGauge(() -> 7);
        String text = new String(new PrometheusText(registry).write(), StandardCharsets.UTF_8);
        assertTrue(text.contains("banyanstair_requests{service=\"order.desk\",code=\"queue_full\",} 1.0"), text);
        assertTrue(text.contains("banyanstair_first_token{service=\"order.desk\",quantile=\"0.95\",} 0.1"), text);
        assertTrue(text.contains("banyanstair_token_gap_count{service=\"order.desk\",} 1.0"), text);
        assertEquals(2, text.split("# TYPE banyanstair_requests ").length, text);
        assertTrue(text.contains("banyanstair_requests_in_flight 7.0"), text);
    }
}
