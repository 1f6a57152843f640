package org.banyanstair.server.http.metrics;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.banyanstair.metrics.LabelledMetricName;
import org.banyanstair.model.ServiceId;

/** Counters and timers of caller requests by service and result code. Thread-safe. */
public final class RequestMetrics {
    private static final String NO_SERVICE = "none";

    private final MetricRegistry registry;
    private final Map<ServiceId, Timer> firstTokens = new ConcurrentHashMap<>();
    private final Map<ServiceId, Timer> tokenGaps = new ConcurrentHashMap<>();

    /** Creates the metrics in a registry. */
    public RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Registers the gauge of requests in flight. */
    public void registerInFlightGauge(IntSupplier inFlight) {
        registry.gauge("banyanstair_requests_in_flight", () -> (Gauge<Integer>) inFlight::getAsInt);
    }

    /**
     * Records the time to first token of a request.
     *
     * @param service service of the request
     * @param sinceArrival time since the request arrived
     */
    public void recordFirstToken(ServiceId service, Duration sinceArrival) {
        firstTokens
                .computeIfAbsent(service, id -> timer("banyanstair_first_token", serviceLabel(id)))
                .update(sinceArrival);
    }

    /**
     * Records the time between two tokens of a request.
     *
     * @param service service of the request
     * @param sincePrevious time since the previous token of the request
     */
    public void recordTokenGap(ServiceId service, Duration sincePrevious) {
        tokenGaps
                .computeIfAbsent(service, id -> timer("banyanstair_token_gap", serviceLabel(id)))
                .update(sincePrevious);
    }

    void record(RequestSummary request) {
        String service =
                request.service().map(declared -> declared.id().value()).orElse(NO_SERVICE);
        String[] labels = {"service", service, "code", request.code()};
        registry.counter(LabelledMetricName.of("banyanstair_requests", labels)).inc();
        timer("banyanstair_request_time", labels).update(request.duration());
        if (request.untilFirstToken().isPresent()) {
            timer("banyanstair_load_stall", "service", service).update(request.loadStall());
        }
    }

    private static String[] serviceLabel(ServiceId service) {
        return new String[] {"service", service.value()};
    }

    private Timer timer(String name, String... labels) {
        return registry.timer(
                LabelledMetricName.of(name, labels),
                () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }
}
