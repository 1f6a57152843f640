package org.banyanstair.integration.hosts;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.engine.EngineRun;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.engine.RunOutcome;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.service.ServiceRun;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards promise 6: a leaving endpoint or host receives no new work soon after the host list shows it. */
class LeavingTest {
    private static final long SEED = 8204;

    private static final Duration LAG = Duration.ofSeconds(1);

    /** Section 6, endpoint or host leaving. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private static final int LONG_STREAM_TOKENS = 500;

    private static ClusterPlan plan(int hosts) {
        ClusterPlan plan = ClusterPlan.of(hosts, 2, EngineSettings.DEFAULT);
        return new ClusterPlan(
                plan.hosts(), plan.pools(), plan.deskEndpoints(), plan.logRetention(), LAG, plan.settingsLines());
    }

    @Test
    void leavingEndpointsReceiveNothingNewAndEndWhatTheyRun(@TempDir Path directory) throws Exception {
        long seed = Seeds.of("LeavingTest", SEED);
        try (Cluster cluster = new Cluster(plan(3), directory);
                Traffic traffic = new Traffic()) {
            cluster.start();
            assertEquals(
                    0, cluster.apply(Cluster.declarations(Traffic.ADAPTERS)).code());
            List<ClusterHost> hosts = cluster.hosts();
            EntryDirectory entries = new EntryDirectory(
                    traffic.caller(), hosts.stream().map(ClusterHost::caller).toList());
            traffic.start(60, seed, entries::choose);
            Sleep.of(Duration.ofSeconds(3));
            List<CompletableFuture<CallerResult>> streams = new ArrayList<>();
            for (int stream = 0; stream < 6; stream++) {
                streams.add(traffic.chat(
                        hosts.get(stream % hosts.size()).caller(),
                        stream % Traffic.ADAPTERS,
                        LONG_STREAM_TOKENS,
                        Duration.ofSeconds(20)));
            }
            Sleep.of(Duration.ofMillis(500));
            assertTrue(
                    Sleep.untilTrue(
                            Duration.ofSeconds(5), () -> runsLongStream(cluster, 0) || runsLongStream(cluster, 1)),
                    "no long stream has started");
            // Which engine runs them is up to placement.
            int leavingEngine = runsLongStream(cluster, 0) ? 0 : 1;
            Endpoint engine = leaving(cluster.engines().get(leavingEngine).endpoint());
            Endpoint desk = leaving(cluster.desks().get(0).endpoint());
            cluster.hostList().put(engine);
            cluster.hostList().put(desk);
            assertTrue(Sleep.untilTrue(LAG.multipliedBy(5), () -> cluster.hostList()
                    .visible()
                    .endpoint(desk.id())
                    .filter(desk::equals)
                    .isPresent()));
            Instant limit = Instant.now().plus(LIMIT);
            Sleep.until(limit.plusSeconds(4));
            traffic.finish();
            assertEquals(List.of(), traffic.failures());
            for (CompletableFuture<CallerResult> stream : streams) {
                CallerResult result = stream.get(20, TimeUnit.SECONDS);
                assertTrue(result instanceof CallerResult.Generated, result.toString());
                assertEquals(LONG_STREAM_TOKENS, ((CallerResult.Generated) result).tokens());
            }
            check("engine", engineStarts(cluster, leavingEngine), engineStarts(cluster, 1 - leavingEngine), limit);
            check("desk", deskStarts(cluster, 0), deskStarts(cluster, 1), limit);
            long longOnLeaving = cluster.engines().get(leavingEngine).engine().record().runs().stream()
                    .filter(run -> run.tokens() == LONG_STREAM_TOKENS)
                    .count();
            assertTrue(longOnLeaving > 0, "no long stream ran on the leaving engine");
        }
    }

    /** A stream is known as a long one once it has more tokens than a chat of the traffic. */
    private static boolean runsLongStream(Cluster cluster, int engine) {
        return cluster.engines().get(engine).engine().record().runs().stream()
                .anyMatch(run -> run.outcome() == RunOutcome.RUNNING && run.tokens() > Traffic.TOKENS);
    }

    private static Endpoint leaving(Endpoint endpoint) {
        return new Endpoint(
                endpoint.id(),
                endpoint.kind(),
                Presence.LEAVING,
                endpoint.dataCentre(),
                endpoint.pool(),
                endpoint.address(),
                endpoint.slots(),
                endpoint.batchLimit(),
                endpoint.checksFencing());
    }

    private static List<Instant> engineStarts(Cluster cluster, int number) {
        return cluster.engines().get(number).engine().record().runs().stream()
                .map(EngineRun::started)
                .toList();
    }

    private static List<Instant> deskStarts(Cluster cluster, int number) {
        return cluster.desks().get(number).service().record().stream()
                .map(ServiceRun::started)
                .toList();
    }

    private static void check(String kind, List<Instant> leaving, List<Instant> staying, Instant limit) {
        Instant last = leaving.stream().max(Instant::compareTo).orElseThrow();
        System.out.printf(
                "LeavingTest: last request of %d on the leaving %s came %d ms after the host list showed it%n",
                leaving.size(), kind, Duration.between(limit.minus(LIMIT), last).toMillis());
        assertTrue(leaving.size() > 10, "the leaving " + kind + " was not used before");
        assertEquals(List.of(), leaving.stream().filter(limit::isBefore).toList(), "new work on the leaving " + kind);
        assertFalse(staying.stream().noneMatch(limit::isBefore), "no work on the other " + kind);
    }

    @Test
    void leavingHostsVanishFromTheAddresses(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(plan(3), directory);
                Traffic traffic = new Traffic()) {
            cluster.start();
            assertEquals(0, cluster.apply(Cluster.declarations(1)).code());
            List<ClusterHost> hosts = cluster.hosts();
            assertTrue(shows(traffic, hosts.get(0), hosts.get(2)), "the host is not shown before it leaves");
            EntryHost listed = hosts.get(2).entry();
            EntryHost leaving = new EntryHost(
                    listed.id(),
                    Presence.LEAVING,
                    listed.dataCentre(),
                    listed.peerAddress(),
                    listed.callerAddress(),
                    listed.operatorAddress());
            cluster.hostList().put(leaving);
            assertTrue(Sleep.untilTrue(LAG.multipliedBy(5), () -> cluster.hostList()
                    .visible()
                    .host(leaving.id())
                    .filter(leaving::equals)
                    .isPresent()));
            vanishes("in the host list", traffic, hosts.subList(0, 2), hosts.get(2));
            CallerResult stock = traffic.stock(hosts.get(2).caller()).get(10, TimeUnit.SECONDS);
            assertTrue(stock instanceof CallerResult.ServiceAnswered, "a leaving host must still serve: " + stock);
            hosts.get(1).process().terminate();
            vanishes("by SIGTERM", traffic, hosts.subList(0, 1), hosts.get(1));
        }
    }

    private static void vanishes(String how, Traffic traffic, List<ClusterHost> asked, ClusterHost leaving) {
        Instant from = Instant.now();
        assertTrue(
                Sleep.untilTrue(LIMIT, () -> asked.stream().noneMatch(host -> shows(traffic, host, leaving))),
                leaving.id() + " is still shown " + LIMIT + " after it left " + how);
        System.out.printf(
                "LeavingTest: a host that leaves %s vanished from /v1/entry after %d ms%n",
                how, Duration.between(from, Instant.now()).toMillis());
    }

    private static boolean shows(Traffic traffic, ClusterHost asked, ClusterHost shown) {
        NetworkAddress address = shown.caller();
        CallerHeaders headers = Traffic.headers(Duration.ofSeconds(10));
        return traffic.caller()
                .entryAddresses(asked.caller(), headers)
                .join()
                .addresses()
                .contains(address);
    }
}
