package org.banyanstair.server.http.metrics;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.HostId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.server.http.FailureStatus;

/**
 * Counts good and failed requests per service and minute, for the burn rates of the service level objectives.
 * Thread-safe.
 */
public final class BurnRateRecorder {
    /** Reported window lengths, in minutes. */
    public static final List<Integer> WINDOWS_MINUTES = List.of(5, 60, 360);

    /** Statuses of caller errors, which do not count against the service. */
    private static final Set<Integer> EXCLUDED_STATUSES = Set.of(400, 401, 403, 404, 409, 413);

    private final HostId host;
    private final Clock clock;
    private final Supplier<Configuration> configuration;
    private final Map<ServiceId, MinuteBuckets> bucketsByService = new ConcurrentHashMap<>();

    /**
     * Creates a recorder.
     *
     * @param host this host
     * @param clock supplies the current minute
     * @param configuration configuration in force, with the services to report and their objectives
     */
    public BurnRateRecorder(HostId host, Clock clock, Supplier<Configuration> configuration) {
        this.host = host;
        this.clock = clock;
        this.configuration = configuration;
    }

    void record(RequestSummary request) {
        request.service().filter(service -> isCounted(request, service)).ifPresent(service -> bucketsByService
                .computeIfAbsent(service.id(), id -> new MinuteBuckets())
                .add(minute(), request.succeeded() && meetsLatencyObjective(request, service), request));
    }

    /**
     * Returns whether a request counts. A caller that disconnects counts only if it waited longer than the objective
     * allows.
     */
    private static boolean isCounted(RequestSummary request, ServiceDeclaration service) {
        if (request.status() == FailureStatus.CLIENT_CLOSED_REQUEST) {
            return !meetsLatencyObjective(request, service);
        }
        return !EXCLUDED_STATUSES.contains(request.status());
    }

    private static boolean meetsLatencyObjective(RequestSummary request, ServiceDeclaration service) {
        Duration latency = request.untilFirstToken().orElse(request.duration());
        return latency.compareTo(Duration.ofMillis(service.objective().latencyMilliseconds())) <= 0;
    }

    private long minute() {
        return clock.millis() / Duration.ofMinutes(1).toMillis();
    }

    /** Returns samples of all declared services and all windows; a window includes the current minute. */
    public BurnRateSnapshot snapshot() {
        Map<ServiceId, ServiceDeclaration> declared = configuration.get().services();
        bucketsByService.keySet().retainAll(declared.keySet());
        List<BurnRateSample> samples = new ArrayList<>();
        for (ServiceDeclaration service : declared.values()) {
            MinuteBuckets buckets = bucketsByService.getOrDefault(service.id(), new MinuteBuckets());
            WINDOWS_MINUTES.forEach(window -> samples.add(buckets.sample(service, minute(), window)));
        }
        return new BurnRateSnapshot(host, clock.instant(), samples);
    }
}
