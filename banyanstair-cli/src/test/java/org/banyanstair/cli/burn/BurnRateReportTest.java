package org.banyanstair.cli.burn;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.configuration.Objective;
import org.banyanstair.model.HostId;
import org.banyanstair.model.ServiceId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against averaging the rates of hosts instead of summing their requests. */
class BurnRateReportTest {
    private static final ServiceId SERVICE = new ServiceId("assistant");

    private static BurnRateSnapshot snapshot(String host, long second, BurnRateSample... samples) {
        return new BurnRateSnapshot(new HostId(host), Instant.ofEpochSecond(second), List.of(samples));
    }

    private static BurnRateSample sample(
            int window, int latency, long requests, long good, Map<String, Long> failures) {
        return new BurnRateSample(SERVICE, new Objective(latency, 0.95), window, requests, good, failures);
    }

    @Test
    void sumsRequestsAndKeepsTheLatestObjective() {
        BurnRateSnapshot late = snapshot("entry-1", 20, sample(60, 500, 1_000, 1_000, Map.of("queue_full", 1L)));
        BurnRateSnapshot early = snapshot(
                "entry-2", 10, sample(60, 420, 10, 0, Map.of("queue_full", 10L)), sample(5, 420, 10, 0, Map.of()));
        BurnRateReport report = BurnRateReport.merge(List.of(late, early), List.of());
        assertEquals(
                List.of(sample(5, 420, 10, 0, Map.of()), sample(60, 500, 1_010, 1_000, Map.of("queue_full", 11L))),
                report.samples());
        assertEquals(List.of(), report.servicesMissingObjective());
    }

    @Test
    void serviceWithoutRequestsMeetsItsObjective() {
        BurnRateSnapshot idle = snapshot("entry-1", 1, sample(60, 420, 0, 0, Map.of()));
        assertEquals(List.of(), BurnRateReport.merge(List.of(idle), List.of()).servicesMissingObjective());
    }
}
