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
 * Burn rate samples, summed over all hosts.
 *
 * @param takenAt time of the latest snapshot
 * @param samples one for each service and window, ordered by service and then by window length
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
     * Sums up the snapshots of hosts.
     *
     * @param snapshots one for each host that answered; at least one
     */
    public static BurnRateReport merge(List<BurnRateSnapshot> snapshots, List<HostId> hostsWithoutAnswer) {
        Map<Key, BurnRateSample> merged =
                new TreeMap<>(Comparator.comparing(Key::service).thenComparing(Key::windowMinutes));
        // The objective of the latest snapshot is kept, because hosts may differ after a recent change of an objective.
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

    /** Lists the services that miss their objective in their longest window; a service without requests does not. */
    public List<ServiceId> servicesMissingObjective() {
        Map<ServiceId, BurnRateSample> longest = new TreeMap<>();
        // The samples of a service are ordered by window length, so the last one put is the longest.
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
