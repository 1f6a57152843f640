package org.banyanstair.integration.hosts;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.Outage;
import org.banyanstair.testsupport.hosts.HostListFaults;
import org.banyanstair.testsupport.load.CallerResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that wait for an update of the host list after the owner of their pool was killed. */
class OwnerLossTest {
    /**
     * Sum of the default limits: 3 s until a silent connection is closed (heartbeat-limit), 1 s for a reconnection
     * attempt, 1 s for the owner limit, 1 s for the status of the engines, 1 s for a repeated permit request, and 1 s
     * for the claim, the status of the adapters and the answer.
     */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(3 + 1 + 1 + 1 + 1 + 1);

    @Test
    void requestsAreServedAgainWhileTheHostListIsDown(@TempDir Path directory) throws Exception {
        killOwner("down", new HostListFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE), Optional.empty()), directory);
    }

    @Test
    void requestsAreServedAgainWhileTheHostListLags(@TempDir Path directory) throws Exception {
        killOwner("3 s behind", new HostListFaults(Faults.NONE, Optional.of(3_000L)), directory);
    }

    private static void killOwner(String state, HostListFaults faults, Path directory) throws Exception {
        try (Cluster cluster = new Cluster(ClusterPlan.of(3, 2, EngineSettings.DEFAULT), directory);
                IdempotentTraffic traffic = new IdempotentTraffic()) {
            cluster.start();
            assertEquals(
                    0,
                    cluster.apply(Cluster.declarations(IdempotentTraffic.ADAPTERS))
                            .code());
            assertTrue(
                    Wait.untilTrue(Duration.ofSeconds(10), () -> owner(cluster).isPresent()), "no host owns the pool");
            for (ClusterHost host : cluster.hosts()) {
                awaitAnswer(traffic, host);
            }
            cluster.hostList().setFaults(faults);
            Wait.sleep(Duration.ofSeconds(2));
            cluster.kill(owner(cluster).orElseThrow());
            Instant killedAt = Instant.now();
            List<CompletableFuture<Duration>> times = new ArrayList<>();
            for (ClusterHost host : cluster.hosts()) {
                times.add(CompletableFuture.supplyAsync(() -> {
                    awaitAnswer(traffic, host);
                    return Duration.between(killedAt, Instant.now());
                }));
            }
            for (CompletableFuture<Duration> time : times) {
                Duration taken = time.get(60, TimeUnit.SECONDS);
                System.out.printf(
                        "OwnerLossTest: host list %s, a chat was answered %d ms after the owner was killed, bound %s%n",
                        state, taken.toMillis(), RECOVERY_LIMIT);
                assertTrue(taken.compareTo(RECOVERY_LIMIT) < 0, taken.toString());
            }
        }
    }

    private static Optional<ClusterHost> owner(Cluster cluster) {
        return cluster.hosts().stream()
                .filter(host -> new HostOperatorClient(host)
                        .status()
                        .state(host.id())
                        .filter(status -> !status.ownedPools().isEmpty())
                        .isPresent())
                .findFirst();
    }

    /** Sends a chat until it is answered. Only requests that certainly did not run are sent again. */
    private static void awaitAnswer(IdempotentTraffic traffic, ClusterHost host) {
        Instant deadline = Instant.now().plusSeconds(30);
        CallerResult result;
        do {
            result = traffic.chat(host.caller(), 1, 8, Duration.ofSeconds(20)).join();
        } while (result instanceof CallerResult.NotRun && Instant.now().isBefore(deadline));
        assertTrue(result instanceof CallerResult.Generated, result.toString());
    }
}
