package org.banyanstair.integration.generations;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.engine.EngineFault;
import org.banyanstair.testsupport.engine.EngineRun;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.engine.EngineViolation;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers by another adapter version, texts with lost or repeated tokens, and unloads of adapters in use
 * (promises 1 to 3) while hosts and engines fail. Hosts run as real processes.
 */
class GenerationHistoryTest {
    private static final int ADAPTERS = 5;
    private static final String CRASH_MARKER = "crash-this-engine";

    @TempDir
    private Path directory;

    private static EngineSettings engine(boolean checksFencing) {
        return new EngineSettings(0, 2, 4, 8_000, 200, 100, "", checksFencing, 5, 300, 500, 10, 64, 500, CRASH_MARKER);
    }

    private Cluster start(boolean checksFencing) {
        Cluster cluster = new Cluster(ClusterPlan.of(4, 3, engine(checksFencing)), directory);
        cluster.start();
        ToolResult applied = cluster.apply(Cluster.declarations(ADAPTERS));
        assertEquals(0, applied.code(), applied.errors());
        return cluster;
    }

    private static ChatTraffic traffic(long seed, int seconds, Supplier<List<NetworkAddress>> addresses) {
        return new ChatTraffic(
                new ChatTrafficPlan(seed, 8, ADAPTERS, Duration.ofSeconds(seconds), Duration.ofSeconds(14)), addresses);
    }

    private static Supplier<List<NetworkAddress>> callerAddressesExcept(Cluster cluster, ClusterHost excluded) {
        List<NetworkAddress> addresses = cluster.hosts().stream()
                .filter(host -> host != excluded)
                .map(ClusterHost::caller)
                .toList();
        return () -> addresses;
    }

    private static ClusterHost owner(Cluster cluster) throws InterruptedException {
        for (int attempt = 0; attempt < 50; attempt++) {
            String status = cluster.runTool("status").output();
            Optional<ClusterHost> owner = cluster.hosts().stream()
                    .filter(host -> status.lines()
                            .anyMatch(line -> line.contains("[assistant]")
                                    && line.contains(host.id().value())))
                    .findFirst();
            if (owner.isPresent()) {
                return owner.get();
            }
            Thread.sleep(100);
        }
        throw new AssertionError("no host owns the pool");
    }

    private static List<EngineRun> runs(Cluster cluster) {
        return cluster.engines().stream()
                .flatMap(engine -> engine.engine().record().runs().stream())
                .toList();
    }

    /** Checks answers, engine violations and unloads; requests may fail only with the allowed codes. */
    private static void checkReport(Cluster cluster, ChatTraffic traffic, long seed, Set<String> allowed)
            throws InterruptedException {
        TrafficReport report = traffic.finish(() -> runs(cluster));
        List<EngineViolation> violations = cluster.engines().stream()
                .flatMap(engine -> engine.engine().record().violations().stream())
                .toList();
        long unloads = cluster.engines().stream()
                .mapToLong(engine -> engine.engine().counters().unloads())
                .sum();
        System.out.println("seed " + seed + ": " + report.answered() + " answered, " + report.failures() + ", "
                + unloads + " unloads, " + violations.size() + " violations");
        assertEquals(List.of(), report.wrong(), "seed " + seed);
        assertEquals(List.of(), violations, "seed " + seed);
        assertTrue(
                allowed.containsAll(report.failures().keySet()),
                "unexpected failures " + report.failures() + ", seed " + seed);
        assertTrue(
                report.answered() >= 9 * report.failed(),
                "fewer than nine answers per failed request, " + report + ", seed " + seed);
        assertTrue(unloads > 0, "no adapter was evicted, seed " + seed);
    }

    @Test
    void ownerIsKilled() throws Exception {
        long seed = 3101;
        try (Cluster cluster = start(true)) {
            ClusterHost owner = owner(cluster);
            try (ChatTraffic traffic = traffic(seed, 16, callerAddressesExcept(cluster, owner))) {
                Thread.sleep(4_000);
                cluster.kill(owner);
                checkReport(cluster, traffic, seed, Set.of());
            }
        }
    }

    /**
     * Guards against a resumed owner that acts on its expired claim. The engines accept orders of any term, so fencing
     * cannot reject its orders.
     */
    @Test
    void ownerIsPausedPastTakeoverAndEnginesIgnoreFencing() throws Exception {
        long seed = 3102;
        try (Cluster cluster = start(false)) {
            ClusterHost owner = owner(cluster);
            try (ChatTraffic traffic = traffic(seed, 20, callerAddressesExcept(cluster, owner))) {
                Thread.sleep(3_000);
                owner.process().pause();
                Thread.sleep(9_000);
                owner.process().resume();
                checkReport(cluster, traffic, seed, Set.of());
            }
        }
    }

    @Test
    void enginesRestartEmptyAndLoadsFailOrLoseTheirAnswers() throws Exception {
        long seed = 3103;
        try (Cluster cluster = start(true)) {
            try (ChatTraffic traffic = traffic(seed, 16, callerAddressesExcept(cluster, null))) {
                Thread.sleep(2_000);
                cluster.engines().forEach(engine -> {
                    engine.engine().setFault(EngineFault.FAIL_LOADS, 2);
                    engine.engine().setFault(EngineFault.LOSE_LOAD_ANSWERS, 2);
                    engine.engine().setFault(EngineFault.LOSE_UNLOAD_ANSWERS, 2);
                });
                Thread.sleep(3_000);
                cluster.engines().forEach(engine -> engine.engine().setFault(EngineFault.RESTART, 1));
                Thread.sleep(5_000);
                cluster.engines().get(0).engine().setFault(EngineFault.RESTART, 1);
                checkReport(cluster, traffic, seed, Set.of());
            }
        }
    }

    @Test
    void connectionsToEnginesAreResetOrStalled() throws Exception {
        long seed = 3104;
        try (Cluster cluster = start(true)) {
            try (ChatTraffic traffic = traffic(seed, 14, callerAddressesExcept(cluster, null))) {
                for (int round = 0; round < 8; round++) {
                    Thread.sleep(1_000);
                    cluster.engines().get(round % 3).proxy().resetConnections();
                }
                cluster.engines().forEach(engine -> engine.proxy().stallOpenConnections());
                checkReport(cluster, traffic, seed, Set.of());
            }
            long resumed = cluster.engines().stream()
                    .mapToLong(engine -> engine.engine().counters().resumed())
                    .sum();
            assertTrue(resumed > 0, "no stream was resumed, seed " + seed);
        }
    }

    /** Guards against unbounded retries of a request that crashes engines, and against failures of requests beside it. */
    @Test
    void requestThatCrashesEnginesIsRefusedAndOtherRequestsAreAnswered() throws Exception {
        long seed = 3105;
        try (Cluster cluster = start(true);
                HttpCaller caller = new HttpCaller(1, Duration.ofSeconds(20), Clock.systemUTC())) {
            try (ChatTraffic traffic = traffic(seed, 16, callerAddressesExcept(cluster, null))) {
                Thread.sleep(2_000);
                String last = "";
                for (int sent = 0; sent < 6; sent++) {
                    NetworkAddress host = cluster.hosts().get(sent % 4).caller();
                    last = outcomeCode(caller.chat(host, crashingCall()).get());
                }
                checkReport(cluster, traffic, seed, Set.of());
                assertEquals("request_crashes_endpoints", last, "seed " + seed);
            }
            long crashes = cluster.engines().stream()
                    .mapToLong(engine -> engine.engine().counters().crashes())
                    .sum();
            System.out.println("seed " + seed + ": " + crashes + " crashes");
            assertTrue(crashes <= 3, crashes + " crashes, seed " + seed);
        }
    }

    private static ChatCall crashingCall() {
        CallerHeaders headers = new CallerHeaders(
                Cluster.key(Cluster.OTHER_CALLER),
                Optional.of(Instant.now().plusSeconds(12)),
                Optional.empty(),
                Optional.empty());
        return new ChatCall(headers, "assistant/adapter-0@v1", CRASH_MARKER, 8, true);
    }

    private static String outcomeCode(CallerResult result) {
        if (result instanceof CallerResult.NotRun notRun) {
            return notRun.code();
        }
        return result instanceof CallerResult.Unknown unknown ? unknown.code() : "answered";
    }

    @Test
    void defaultVersionsChangeWhileRequestsRun() throws Exception {
        long seed = 3106;
        try (Cluster cluster = start(true)) {
            try (ChatTraffic traffic = traffic(seed, 12, callerAddressesExcept(cluster, null))) {
                for (int change = 0; change < 4; change++) {
                    Thread.sleep(2_000);
                    String version = change % 2 == 0 ? "v1" : "v2";
                    ToolResult applied = cluster.apply(Cluster.declarations(ADAPTERS)
                            .replace("default = \"v2\"", "default = \"" + version + "\""));
                    assertEquals(0, applied.code(), applied.errors());
                }
                checkReport(cluster, traffic, seed, Set.of());
            }
        }
    }
}
