package org.banyanstair.integration.orders;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.banyanstair.external.LogStreams;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.model.HostId;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.Outage;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.network.FaultProxy;
import org.banyanstair.testsupport.service.PlainServiceFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against orders that run twice, run after their caller was told "not run", or are acknowledged without a run
 * (promises 4 and 5) while hosts, the log, the plain service or connections fail. Hosts run as real processes.
 */
@Timeout(45)
class OrderHistoryTest {
    private static final int HOSTS = 4;
    private static final Duration TRAFFIC_DURATION = Duration.ofSeconds(6);
    private static final long FAULT_DELAY_MILLIS = 1_500;

    /** Longer than the heartbeat limit of 3 s, so that the other hosts close their connections to the paused host. */
    private static final long PAUSE_MILLIS = 4_500;

    /** A batch is appended after 25 ms; the rest allows for a busy machine. */
    private static final Duration NOT_RUN_ANSWER_LIMIT = Duration.ofSeconds(2);

    @TempDir
    Path directory;

    @Test
    void writerIsKilled() {
        check(61, cluster -> cluster.kill(writer(cluster)));
    }

    @Test
    void writerIsPausedAndResumed() {
        check(62, cluster -> pause(writer(cluster)));
    }

    @Test
    void answersOfTheLogAreLost() {
        check(63, cluster -> loseLogAnswers(cluster, 63));
    }

    @Test
    void answersOfTheServiceAreLost() {
        check(64, OrderHistoryTest::loseServiceAnswers);
    }

    @Test
    void openConnectionsStall() {
        check(65, OrderHistoryTest::stallConnections);
    }

    @Test
    void writerIsKilledWhileAnswersOfTheLogAreLost() {
        check(66, cluster -> {
            loseLogAnswers(cluster, 66);
            OrderTraffic.sleep(500);
            cluster.kill(writer(cluster));
        });
    }

    @Test
    void writerIsPausedWhileAnswersOfTheServiceAreLost() {
        check(67, cluster -> {
            loseServiceAnswers(cluster);
            pause(writer(cluster));
        });
    }

    @Test
    void openConnectionsStallAndTheLogFails() {
        check(68, cluster -> {
            stallConnections(cluster);
            OrderTraffic.sleep(500);
            interruptLog(cluster);
        });
    }

    @Test
    void ordersAreNotRunPromptlyWhileTheLogIsDown() {
        run(69, (cluster, traffic) -> {
            traffic.placeUntil(Instant.now().plusSeconds(1));
            long before = traffic.await().size();
            cluster.log().setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
            OrderTraffic.sleep(200);
            traffic.placeUntil(Instant.now().plusSeconds(3));
            List<OrderTraffic.OrderAttempt> during =
                    traffic.await().stream().skip(before).toList();
            cluster.log().setFaults(Faults.NONE);
            traffic.placeUntil(Instant.now().plusSeconds(1));
            assertTrue(during.size() > 100, "orders while the log is down: " + during.size());
            during.forEach(each -> {
                assertTrue(each.result() instanceof CallerResult.NotRun, each.toString());
                assertTrue(each.duration().compareTo(NOT_RUN_ANSWER_LIMIT) < 0, each.toString());
            });
        });
    }

    private interface Scenario {
        void run(Cluster cluster, OrderTraffic traffic);
    }

    /** Places orders, injects a fault while they run, and checks the history. */
    private void check(long seed, Consumer<Cluster> fault) {
        run(seed, (cluster, traffic) -> {
            CompletableFuture<Void> faultInjection = CompletableFuture.runAsync(() -> {
                OrderTraffic.sleep(FAULT_DELAY_MILLIS);
                fault.accept(cluster);
            });
            traffic.placeUntil(Instant.now().plus(TRAFFIC_DURATION));
            faultInjection.join();
            cluster.log().setFaults(Faults.NONE);
        });
    }

    private void run(long seed, Scenario scenario) {
        try (Cluster cluster = new Cluster(ClusterPlan.of(HOSTS, 1, EngineSettings.DEFAULT), directory);
                OrderTraffic traffic = new OrderTraffic(cluster, seed)) {
            cluster.start();
            ToolResult applied = cluster.apply(Cluster.declarations(1));
            assertEquals(0, applied.code(), applied.errors());
            try {
                scenario.run(cluster, traffic);
                traffic.await();
            } finally {
                System.out.println("seed " + seed + ": " + traffic.summary());
            }
            assertEquals(List.of(), traffic.violations(), "seed " + seed);
            assertEquals(List.of(), traffic.differingAnswers(), "seed " + seed);
            assertTrue(traffic.count(CallerResult.ServiceAnswered.class) > 0, "seed " + seed);
        }
    }

    /** Returns the host that writes the first partition of the call log. */
    private static ClusterHost writer(Cluster cluster) {
        List<HostId> ids = cluster.hosts().stream().map(ClusterHost::id).toList();
        HostId first = RendezvousHash.first(LogStreams.callStream(0), ids).orElseThrow();
        return cluster.hosts().stream()
                .filter(host -> host.id().equals(first))
                .findFirst()
                .orElseThrow();
    }

    private static void pause(ClusterHost host) {
        host.process().pause();
        OrderTraffic.sleep(PAUSE_MILLIS);
        host.process().resume();
    }

    private static void loseLogAnswers(Cluster cluster, long seed) {
        cluster.log().setFaults(Faults.NONE.withRandomLostAnswers(0.4, seed).withLostAnswerMethod("POST"));
    }

    private static void interruptLog(Cluster cluster) {
        cluster.log().setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
        OrderTraffic.sleep(2_500);
        cluster.log().setFaults(Faults.NONE);
    }

    private static void loseServiceAnswers(Cluster cluster) {
        cluster.serviceEndpoints()
                .forEach(serviceEndpoint -> serviceEndpoint.service().setFault(PlainServiceFault.LOSE_ANSWERS, 10));
    }

    private static void stallConnections(Cluster cluster) {
        cluster.hosts().forEach(host -> host.logProxy().stallOpenConnections());
        cluster.hosts().forEach(host -> host.peerProxy().stallOpenConnections());
        cluster.serviceEndpoints().forEach(serviceEndpoint -> stallConnections(serviceEndpoint.proxy()));
    }

    private static void stallConnections(FaultProxy proxy) {
        proxy.stallOpenConnections();
    }
}
