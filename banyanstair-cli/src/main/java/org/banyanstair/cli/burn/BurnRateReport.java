package org.banyanstair.cli.burn;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.model.HostId;
import org.banyanstair.model.ServiceId;

/**
 * Burn samples of all hosts, added up.
 *
 * @param takenAt when the latest snapshot was taken
 * @param samples one for each service and window, by service and then by length of the window
 * @param hostsWithoutAnswer hosts whose samples are missing
 */
public record BurnRateReport(Instant takenAt, List<BurnRateSample> samples, List<HostId> hostsWithoutAnswer) {
    /** Copies the lists. */
    public BurnRateReport {
        samples = List.copyOf(samples);
        hostsWithoutAnswer = List.copyOf(hostsWithoutAnswer);
    }

    private record Key(ServiceId service, int windowMinutes) {}

    /**
     * Adds up snapshots.
     *
     * @param snapshots one for each host that answered; at least one
     * @param hostsWithoutAnswer the other hosts
     * @return the report
     */
    public static BurnRateReport merge(List<BurnRateSnapshot> snapshots, List<HostId> hostsWithoutAnswer) {
        Map<Key, BurnRateSample> merged =
                new TreeMap<>(Comparator.comparing(Key::service).thenComparing(Key::windowMinutes));
        // The objective of the latest snapshot stays: an objective that was changed lately differs between hosts.
        List<BurnRateSnapshot> sorted = snapshots.stream()
                .sorted(Comparator.comparing(BurnRateSnapshot::takenAt))
                .toList();
        sorted.stream()
                .flatMap(snapshot -> snapshot.samples().stream())
                .forEach(sample ->
                        merged.merge(new Key(sample.service(), sample.windowMinutes()), sample, BurnRateReport::add));
        return new BurnRateReport(
                sorted.get(sorted.size() - 1).takenAt(), List.copyOf(merged.values()), hostsWithoutAnswer);
    }

    private static BurnRateSample add(BurnRateSample first, BurnRateSample second) {
        Map<String, Long> failures = new HashMap<>(first.failures());
        second.failures().forEach((code, count) -> failures.merge(code, count, Long::sum));
        return new BurnRateSample(
                second.service(),
                second.objective(),
                second.windowMinutes(),
                first.requests() + second.requests(),
                first.good() + second.good(),
                failures);
    }

    /**
     * Lists the services that miss their objective in their longest window.
     *
     * @return the services; a service without requests misses nothing
     */
    public List<ServiceId> servicesMissingObjective() {
        Map<ServiceId, BurnRateSample> longest = new TreeMap<>();
        // Samples of a service are in the order of their windows, so that the longest one comes last.
        samples.forEach(sample -> longest.put(sample.service(), sample));
        return missed(longest.values());
    }

    private static List<ServiceId> missed(Collection<BurnRateSample> samples) {
        return samples.stream()
                .filter(sample -> sample.good() < sample.objective().share() * sample.requests())
                .map(BurnRateSample::service)
                .toList();
    }
}
