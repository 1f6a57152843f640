package org.banyanstair.integration.hosts;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.server.ExitCode;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.EntryList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that fail because their host is stopped as planned (promise 7). */
class ReplacementTest {
    private static final long SEED = 8203;

    private static final Duration ENTRY_ADDRESS_LIFETIME = Duration.ofSeconds(1);

    private static final Duration PEER_LATENCY = Duration.ofMillis(300);

    private static final int LONG_STREAM_TOKENS = 600;

    private static ClusterPlan plan(int hosts, int drainLimitMilliseconds) {
        ClusterPlan plan = ClusterPlan.of(hosts, 2, EngineSettings.DEFAULT);
        return new ClusterPlan(
                plan.hosts(),
                plan.pools(),
                plan.deskEndpoints(),
                plan.logRetention(),
                plan.hostListLag(),
                List.of(
                        "[limits]",
                        "entry-address-keep-milliseconds = " + ENTRY_ADDRESS_LIFETIME.toMillis(),
                        "drain-limit-milliseconds = " + drainLimitMilliseconds));
    }

    @Test
    void allHostsAreReplacedUnderLoadWithoutCuttingOffARequest(@TempDir Path directory) throws Exception {
        long seed = Seeds.print("ReplacementTest", SEED);
        try (Cluster cluster = new Cluster(plan(3, 20_000), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(
                    0,
                    cluster.apply(Cluster.declarations(IdempotentTraffic.ADAPTERS))
                            .code());
            List<ClusterHost> initialHosts = cluster.hosts();
            EntryAddressCache entryAddresses = new EntryAddressCache(
                    traffic.caller(),
                    initialHosts.stream().map(ClusterHost::caller).toList());
            traffic.start(60, seed, entryAddresses::nextAddress);
            Wait.sleep(Duration.ofSeconds(1));
            Map<NetworkAddress, Instant> readyAt = new HashMap<>();
            for (int index = 0; index < initialHosts.size(); index++) {
                ClusterHost started = cluster.startHost();
                readyAt.put(started.caller(), Instant.now());
                stopHost(cluster, initialHosts.get(index), index == initialHosts.size() - 1);
            }
            int requests = traffic.stopAndAwait();
            // The cluster lists a host before its daemon listens; requests sent to it until then did not run.
            List<FailedRequest> unexpectedFailures = traffic.failures().stream()
                    .filter(failed -> !(failed.result() instanceof CallerResult.NotRun)
                            || !readyAt.containsKey(failed.entry())
                            || failed.sentAt().isAfter(readyAt.get(failed.entry())))
                    .toList();
            System.out.printf(
                    "ReplacementTest: %d of %d requests answered, %d not run on hosts that were starting%n",
                    requests - traffic.failures().size(),
                    requests,
                    traffic.failures().size() - unexpectedFailures.size());
            assertEquals(List.of(), unexpectedFailures);
            assertTrue(requests > 300, "too little load: " + requests);
        }
    }

    private static void stopHost(Cluster cluster, ClusterHost host, boolean byOperator) {
        Instant stoppedAt = Instant.now();
        if (byOperator) {
            assertEquals(0, cluster.runTool("drain", host.id().value()).code());
        } else {
            host.process().terminate();
        }
        OptionalInt code = host.process().waitFor(Instant.now().plusSeconds(15));
        System.out.printf(
                "ReplacementTest: %s stopped by %s after %d ms with %s%n",
                host.id(),
                byOperator ? "drain" : "SIGTERM",
                Duration.between(stoppedAt, Instant.now()).toMillis(),
                code);
        assertEquals(OptionalInt.of(ExitCode.STOPPED.value()), code);
        cluster.remove(host);
    }

    /** A host that has not heard of the stop yet still gives the address of the host that stops. */
    @Test
    void addressesThatOthersGiveDuringAStopAreServedUntilTheyExpire(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(plan(2, 20_000), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(0, cluster.apply(Cluster.declarations(1)).code());
            ClusterHost stopping = cluster.hosts().get(0);
            ClusterHost asked = cluster.hosts().get(1);
            assertTrue(Wait.untilTrue(
                    Duration.ofSeconds(5),
                    () -> entryList(traffic, asked).addresses().contains(stopping.caller())));
            cluster.hosts().forEach(host -> host.peerProxy().setLatency(PEER_LATENCY));
            stopping.process().terminate();
            EntryList given = entryList(traffic, asked);
            Instant keepUntil = given.keepUntil();
            while (given.addresses().contains(stopping.caller())) {
                keepUntil = given.keepUntil();
                Wait.sleep(Duration.ofMillis(20));
                given = entryList(traffic, asked);
            }
            while (Instant.now().isBefore(keepUntil)) {
                CallerResult stock = traffic.lookUpStock(stopping.caller()).get(10, TimeUnit.SECONDS);
                assertTrue(stock instanceof CallerResult.ServiceAnswered, stock + " before " + keepUntil);
                Wait.sleep(Duration.ofMillis(20));
            }
        }
    }

    private static EntryList entryList(IdempotentTraffic traffic, ClusterHost asked) {
        return traffic.caller()
                .entryAddresses(asked.caller(), IdempotentTraffic.headers(Duration.ofSeconds(10)))
                .join();
    }

    @Test
    void longStreamCompletesBeforeItsHostStops(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(plan(2, 20_000), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(
                    0,
                    cluster.apply(Cluster.declarations(IdempotentTraffic.ADAPTERS))
                            .code());
            for (ClusterHost host : cluster.hosts()) {
                ClusterHost successor = cluster.startHost();
                CompletableFuture<CallerResult> stream = startLongStream(traffic, host);
                host.process().terminate();
                assertTrue(!stream.isDone(), "the stream ended before the stop");
                CallerResult result = stream.get(20, TimeUnit.SECONDS);
                assertTrue(result instanceof CallerResult.Generated, result.toString());
                assertEquals(LONG_STREAM_TOKENS, ((CallerResult.Generated) result).tokens());
                assertEquals(
                        OptionalInt.of(ExitCode.STOPPED.value()),
                        host.process().waitFor(Instant.now().plusSeconds(10)));
                cluster.remove(host);
                assertTrue(successor.process().isAlive());
            }
        }
    }

    private static CompletableFuture<CallerResult> startLongStream(IdempotentTraffic traffic, ClusterHost host)
            throws Exception {
        CallerResult loaded =
                traffic.chat(host.caller(), 0, 2, Duration.ofSeconds(10)).get();
        assertTrue(loaded instanceof CallerResult.Generated, loaded.toString());
        CompletableFuture<CallerResult> stream =
                traffic.chat(host.caller(), 0, LONG_STREAM_TOKENS, Duration.ofSeconds(20));
        Wait.sleep(Duration.ofMillis(300));
        assertTrue(!stream.isDone(), "the stream is too short for the test");
        return stream;
    }

    @Test
    void drainLimitEndsTheStopWithItsOwnExitCode(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(plan(2, 1_000), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(
                    0,
                    cluster.apply(Cluster.declarations(IdempotentTraffic.ADAPTERS))
                            .code());
            ClusterHost host = cluster.hosts().get(0);
            CompletableFuture<CallerResult> stream = startLongStream(traffic, host);
            Instant stoppedAt = Instant.now();
            host.process().terminate();
            OptionalInt code = host.process().waitFor(Instant.now().plusSeconds(10));
            System.out.printf(
                    "ReplacementTest: stopped by the drain limit of 1000 ms after %d ms%n",
                    Duration.between(stoppedAt, Instant.now()).toMillis());
            assertEquals(OptionalInt.of(ExitCode.CUT_OFF.value()), code);
            CallerResult result = stream.get(20, TimeUnit.SECONDS);
            assertTrue(
                    result instanceof CallerResult.Unknown,
                    "a stream that was cut off must not look complete: " + result);
        }
    }
}
