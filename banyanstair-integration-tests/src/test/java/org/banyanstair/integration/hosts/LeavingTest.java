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

/**
 * Guards against new requests on an endpoint or host that the host list has shown as leaving for more than two seconds,
 * and against leaving endpoints that break off running requests (promise 6).
 */
class LeavingTest {
    private static final long SEED = 8204;

    private static final Duration HOST_LIST_LAG = Duration.ofSeconds(1);

    /** Time within which a leaving endpoint or host must receive no more new requests (section 6). */
    private static final Duration LEAVING_LIMIT = Duration.ofSeconds(2);

    private static final int LONG_STREAM_TOKENS = 500;

    private static ClusterPlan plan(int hosts) {
        ClusterPlan plan = ClusterPlan.of(hosts, 2, EngineSettings.DEFAULT);
        return new ClusterPlan(
                plan.hosts(),
                plan.pools(),
                plan.deskEndpoints(),
                plan.logRetention(),
                HOST_LIST_LAG,
                plan.settingsLines());
    }

    @Test
    void leavingEndpointsReceiveNoNewRequestsAndCompleteRunningOnes(@TempDir Path directory) throws Exception {
        long seed = Seeds.print("LeavingTest", SEED);
        try (Cluster cluster = new Cluster(plan(3), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(
                    0,
                    cluster.apply(Cluster.declarations(IdempotentTraffic.ADAPTERS))
                            .code());
            List<ClusterHost> hosts = cluster.hosts();
            EntryAddressCache entryAddresses = new EntryAddressCache(
                    traffic.caller(), hosts.stream().map(ClusterHost::caller).toList());
            traffic.start(60, seed, entryAddresses::nextAddress);
            Wait.sleep(Duration.ofSeconds(3));
            List<CompletableFuture<CallerResult>> streams = new ArrayList<>();
            for (int stream = 0; stream < 6; stream++) {
                streams.add(traffic.chat(
                        hosts.get(stream % hosts.size()).caller(),
                        stream % IdempotentTraffic.ADAPTERS,
                        LONG_STREAM_TOKENS,
                        Duration.ofSeconds(20)));
            }
            Wait.sleep(Duration.ofMillis(500));
            assertTrue(
                    Wait.untilTrue(
                            Duration.ofSeconds(5), () -> runsLongStream(cluster, 0) || runsLongStream(cluster, 1)),
                    "no long stream has started");
            // Placement decides which engine runs the long streams.
            int leavingEngine = runsLongStream(cluster, 0) ? 0 : 1;
            Endpoint engine = asLeaving(cluster.engines().get(leavingEngine).endpoint());
            Endpoint serviceEndpoint =
                    asLeaving(cluster.serviceEndpoints().get(0).endpoint());
            cluster.hostList().put(engine);
            cluster.hostList().put(serviceEndpoint);
            assertTrue(Wait.untilTrue(HOST_LIST_LAG.multipliedBy(5), () -> cluster.hostList()
                    .visible()
                    .endpoint(serviceEndpoint.id())
                    .filter(serviceEndpoint::equals)
                    .isPresent()));
            Instant limit = Instant.now().plus(LEAVING_LIMIT);
            Wait.sleepUntil(limit.plusSeconds(4));
            traffic.stopAndAwait();
            assertEquals(List.of(), traffic.failures());
            for (CompletableFuture<CallerResult> stream : streams) {
                CallerResult result = stream.get(20, TimeUnit.SECONDS);
                assertTrue(result instanceof CallerResult.Generated, result.toString());
                assertEquals(LONG_STREAM_TOKENS, ((CallerResult.Generated) result).tokens());
            }
            checkRequestStarts(
                    "engine", engineStarts(cluster, leavingEngine), engineStarts(cluster, 1 - leavingEngine), limit);
            checkRequestStarts("desk", serviceRunStarts(cluster, 0), serviceRunStarts(cluster, 1), limit);
            long longOnLeaving = cluster.engines().get(leavingEngine).engine().record().runs().stream()
                    .filter(run -> run.tokens() == LONG_STREAM_TOKENS)
                    .count();
            assertTrue(longOnLeaving > 0, "no long stream ran on the leaving engine");
        }
    }

    /** Returns whether an engine runs a stream with more tokens than a chat of the background load. */
    private static boolean runsLongStream(Cluster cluster, int engine) {
        return cluster.engines().get(engine).engine().record().runs().stream()
                .anyMatch(run -> run.outcome() == RunOutcome.RUNNING && run.tokens() > IdempotentTraffic.TOKENS);
    }

    private static Endpoint asLeaving(Endpoint endpoint) {
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

    private static List<Instant> serviceRunStarts(Cluster cluster, int number) {
        return cluster.serviceEndpoints().get(number).service().record().stream()
                .map(ServiceRun::started)
                .toList();
    }

    private static void checkRequestStarts(String kind, List<Instant> leaving, List<Instant> staying, Instant limit) {
        Instant last = leaving.stream().max(Instant::compareTo).orElseThrow();
        System.out.printf(
                "LeavingTest: last request of %d on the leaving %s came %d ms after the host list showed it%n",
                leaving.size(),
                kind,
                Duration.between(limit.minus(LEAVING_LIMIT), last).toMillis());
        assertTrue(leaving.size() > 10, "the leaving " + kind + " was not used before");
        assertEquals(
                List.of(), leaving.stream().filter(limit::isBefore).toList(), "new requests on the leaving " + kind);
        assertFalse(staying.stream().noneMatch(limit::isBefore), "no new requests on the other " + kind);
    }

    @Test
    void leavingHostsAreRemovedFromTheEntryAddresses(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(plan(3), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(0, cluster.apply(Cluster.declarations(1)).code());
            List<ClusterHost> hosts = cluster.hosts();
            // A list that is read between the entries of two hosts shows only the first of them.
            assertTrue(
                    Wait.untilTrue(
                            HOST_LIST_LAG.multipliedBy(3), () -> listsAddress(traffic, hosts.get(0), hosts.get(2))),
                    "the entry addresses do not list the host before it leaves");
            EntryHost listed = hosts.get(2).entry();
            EntryHost leaving = new EntryHost(
                    listed.id(),
                    Presence.LEAVING,
                    listed.dataCentre(),
                    listed.peerAddress(),
                    listed.callerAddress(),
                    listed.operatorAddress());
            cluster.hostList().put(leaving);
            assertTrue(Wait.untilTrue(HOST_LIST_LAG.multipliedBy(5), () -> cluster.hostList()
                    .visible()
                    .host(leaving.id())
                    .filter(leaving::equals)
                    .isPresent()));
            checkRemovedFromAddresses("in the host list", traffic, hosts.subList(0, 2), hosts.get(2));
            CallerResult stock = traffic.lookUpStock(hosts.get(2).caller()).get(10, TimeUnit.SECONDS);
            assertTrue(stock instanceof CallerResult.ServiceAnswered, "a leaving host must still serve: " + stock);
            hosts.get(1).process().terminate();
            checkRemovedFromAddresses("by SIGTERM", traffic, hosts.subList(0, 1), hosts.get(1));
        }
    }

    private static void checkRemovedFromAddresses(
            String how, IdempotentTraffic traffic, List<ClusterHost> asked, ClusterHost leaving) {
        Instant from = Instant.now();
        assertTrue(
                Wait.untilTrue(
                        LEAVING_LIMIT, () -> asked.stream().noneMatch(host -> listsAddress(traffic, host, leaving))),
                leaving.id() + " is still listed " + LEAVING_LIMIT + " after it left " + how);
        System.out.printf(
                "LeavingTest: a host that leaves %s vanished from /v1/entry after %d ms%n",
                how, Duration.between(from, Instant.now()).toMillis());
    }

    private static boolean listsAddress(IdempotentTraffic traffic, ClusterHost asked, ClusterHost shown) {
        NetworkAddress address = shown.caller();
        CallerHeaders headers = IdempotentTraffic.headers(Duration.ofSeconds(10));
        return traffic.caller()
                .entryAddresses(asked.caller(), headers)
                .join()
                .addresses()
                .contains(address);
    }
}
