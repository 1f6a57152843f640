package org.banyanstair.integration.hosts;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;

import org.HdrHistogram.Histogram;
import org.banyanstair.configuration.AdapterDeclaration;
import org.banyanstair.configuration.AdapterKey;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Operation;
import org.banyanstair.errors.Failure;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.model.AdapterId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PresetId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.fault.Faults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two accepted changes for one base version, and against versions that differ between hosts (promise 8),
 * when operators submit changes to several hosts at the same moment.
 */
class ConcurrentChangeTest {
    private static final long SEED = 8201;

    /** Time within which an accepted change must be in force on all live hosts (section 1.7). */
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(9);

    private static final Duration VERDICT_LIMIT = Duration.ofSeconds(2);

    private static final List<String> PRESETS = List.of("ordinary", "peak", "maintenance");

    private final Map<Long, PresetId> presetOfVersion = new TreeMap<>();
    private final Map<Long, Instant> acceptedAt = new TreeMap<>();
    private final Random random = new Random(Seeds.print("ConcurrentChangeTest", SEED));
    private int conflicts;
    private int resolved;
    private int refusedWithoutLog;
    private final List<String> unknown = new ArrayList<>();
    private HostId cutOffHost = new HostId("none");

    private record Submission(ConfigurationChange change, ClusterHost host, ChangeVerdict verdict) {}

    @Test
    void oneChangeWinsForEachBaseVersionAndIsInForceEverywhere(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(ClusterPlan.of(4, 1, EngineSettings.DEFAULT), directory)) {
            cluster.start();
            assertEquals(0, cluster.apply(Cluster.declarations(3)).code());
            List<ClusterHost> hosts = cluster.hosts();
            long version = new HostOperatorClient(hosts.get(0)).configuration().version();
            PresetId preset =
                    new HostOperatorClient(hosts.get(0)).configuration().presetInForce();
            presetOfVersion.put(version, preset);
            try (ConfigurationPoller poller = new ConfigurationPoller(hosts)) {
                version = runRounds(cluster, hosts.subList(0, 3), version, 25);
                cluster.log()
                        .setFaults(Faults.NONE.withRandomLostAnswers(0.3, SEED).withLostAnswerMethod("POST"));
                version = runRounds(cluster, hosts.subList(0, 3), version, 15);
                cluster.log().setFaults(Faults.NONE);
                ClusterHost cutOff = hosts.get(3);
                cutOffHost = cutOff.id();
                cutOff.logProxy().refuseConnections();
                cutOff.logProxy().resetConnections();
                version = runRounds(cluster, hosts.subList(1, 4), version, 10);
                long last = version;
                assertTrue(
                        Wait.untilTrue(IN_FORCE_LIMIT, () -> poller.firstSeen(cutOff.id(), last)
                                .isPresent()),
                        "the host without a connection to the log does not have version " + last);
                cutOff.logProxy().acceptConnections();
                assertTrue(Wait.untilTrue(IN_FORCE_LIMIT, () -> logReachable(cutOff)));
                cutOffHost = new HostId("none");
                version = runRounds(cluster, hosts.subList(1, 4), version, 5);
                long end = version;
                assertTrue(Wait.untilTrue(IN_FORCE_LIMIT, () -> hosts.stream()
                        .allMatch(host -> poller.firstSeen(host.id(), end).isPresent())));
                checkUnknown(hosts);
                checkObservations(poller, hosts);
            }
        }
    }

    private long runRounds(Cluster cluster, List<ClusterHost> hosts, long version, int count) throws Exception {
        long base = version;
        for (int round = 0; round < count; round++) {
            base = runRound(cluster, hosts, base);
        }
        return base;
    }

    private long runRound(Cluster cluster, List<ClusterHost> hosts, long base) throws Exception {
        int operators = 2 + random.nextInt(2);
        CyclicBarrier barrier = new CyclicBarrier(operators);
        List<CompletableFuture<Submission>> submissions = new ArrayList<>();
        for (int operator = 0; operator < operators; operator++) {
            ClusterHost host = hosts.get(hosts.size() - 1 - operator);
            ConfigurationChange change = change(base, operator);
            submissions.add(CompletableFuture.supplyAsync(() -> submit(cluster, host, change, barrier)));
        }
        List<Submission> ended = new ArrayList<>();
        for (CompletableFuture<Submission> submission : submissions) {
            ended.add(submission.get());
        }
        return checkSubmissions(base, ended);
    }

    private ConfigurationChange change(long base, int operator) {
        Operation operation = new Operation.UsePreset(new PresetId(PRESETS.get(random.nextInt(PRESETS.size()))));
        if (random.nextInt(3) == 0) {
            AdapterKey key = new AdapterKey(new ServiceId("assistant"), new AdapterId("adapter-" + random.nextInt(9)));
            operation = new Operation.PutAdapter(new AdapterDeclaration(key, List.of("v1", "v2"), "v2"));
        }
        return new ConfigurationChange("change-" + base + "-" + operator, base, "operator", List.of(operation));
    }

    private Submission submit(Cluster cluster, ClusterHost host, ConfigurationChange change, CyclicBarrier barrier) {
        try {
            barrier.await();
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
        HostOperatorClient operator = new HostOperatorClient(host);
        ChangeVerdict verdict = operator.submit(change);
        if (HostOperatorClient.isUnknown(verdict)) {
            verdict = operator.awaitVerdict(cluster.hosts(), change.changeId(), VERDICT_LIMIT)
                    .orElse(verdict);
            countResolution(change, verdict);
        }
        return new Submission(change, host, verdict);
    }

    private synchronized void countResolution(ConfigurationChange change, ChangeVerdict verdict) {
        if (HostOperatorClient.isUnknown(verdict)) {
            unknown.add(change.changeId());
        } else {
            resolved++;
        }
    }

    private long checkSubmissions(long base, List<Submission> submissions) {
        List<Submission> accepted = submissions.stream()
                .filter(submission -> submission.verdict() instanceof ChangeVerdict.Accepted)
                .toList();
        assertEquals(1, accepted.size(), "number of accepted changes for base version " + base + ": " + submissions);
        Submission winner = accepted.get(0);
        long version = ((ChangeVerdict.Accepted) winner.verdict()).version();
        assertTrue(version > base);
        acceptedAt.put(version, Instant.now());
        Operation operation = winner.change().operations().get(0);
        PresetId preset = operation instanceof Operation.UsePreset use ? use.id() : presetOfVersion.get(base);
        presetOfVersion.put(version, preset);
        for (Submission submission : submissions) {
            if (submission != winner) {
                boolean cutOff = submission.host().id().equals(cutOffHost);
                checkRefusal(base, version, ((ChangeVerdict.Refused) submission.verdict()).failure(), cutOff);
            }
        }
        return version;
    }

    private void checkRefusal(long base, long winning, Failure failure, boolean cutOff) {
        if (failure instanceof Failure.ConfigurationConflict) {
            conflicts++;
            assertEquals(new Failure.ConfigurationConflict(base, winning), failure);
        } else {
            // Only a host without a connection to the log may refuse a change for another reason than a conflict, or
            // lose its outcome when the connection is reset.
            assertTrue(cutOff, failure.toString());
            assertTrue(
                    failure instanceof Failure.LogUnavailable || failure instanceof Failure.ChangeOutcomeUnknown,
                    failure.toString());
            refusedWithoutLog++;
        }
    }

    private static boolean logReachable(ClusterHost host) {
        return new HostOperatorClient(host)
                .status()
                .state(host.id())
                .orElseThrow()
                .logReachable();
    }

    /** Checks that no change with an unknown outcome was accepted, as another one won for its base version. */
    private void checkUnknown(List<ClusterHost> hosts) {
        for (String changeId : unknown) {
            Optional<ChangeVerdict> verdict =
                    new HostOperatorClient(hosts.get(0)).awaitVerdict(hosts, changeId, Duration.ofMillis(200));
            assertFalse(verdict.orElse(null) instanceof ChangeVerdict.Accepted, changeId);
        }
    }

    private void checkObservations(ConfigurationPoller poller, List<ClusterHost> hosts) {
        Map<HostId, Long> lastVersions = new HashMap<>();
        List<ConfigurationObservation> observations = poller.observations();
        for (ConfigurationObservation observation : observations) {
            long before = lastVersions.getOrDefault(observation.host(), Long.MIN_VALUE);
            assertTrue(
                    observation.version() >= before,
                    observation.host() + " went from version " + before + " to " + observation);
            lastVersions.put(observation.host(), observation.version());
            assertEquals(presetOfVersion.get(observation.version()), observation.preset(), observation.toString());
        }
        Histogram delays = new Histogram(3);
        acceptedAt.forEach((version, at) -> hosts.forEach(host -> delays.recordValue(Math.max(
                0,
                Duration.between(at, poller.firstSeen(host.id(), version).orElseThrow())
                        .toMillis()))));
        System.out.printf(
                "ConcurrentChangeTest: %d versions, %d conflicts, %d outcomes resolved by id, %d refused without the log,"
                        + " %d unknown, %d observations;"
                        + " milliseconds from acceptance to each host: p50 %d, p90 %d, p99 %d, most %d%n",
                acceptedAt.size(),
                conflicts,
                resolved,
                refusedWithoutLog,
                unknown.size(),
                observations.size(),
                delays.getValueAtPercentile(50),
                delays.getValueAtPercentile(90),
                delays.getValueAtPercentile(99),
                delays.getMaxValue());
        assertTrue(delays.getMaxValue() < IN_FORCE_LIMIT.toMillis());
        assertFalse(conflicts == 0, "no change conflicted with another");
    }
}
