package org.banyanstair.placement;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.Operation;
import org.banyanstair.configuration.PoolDeclaration;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.AdapterId;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.reducer.GenerationRequest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks guarantees 1 to 3 on the reducers of three hosts: guards against unloads of adapters in use, attempts without
 * a permit, more permits than the batch limit, requests that never end, and too many crashes by one request.
 */
class GenerationPropertyTest {
    private static final PoolId POOL = new PoolId("assistant");
    private static final CallerId CALLER = new CallerId("clerk");
    private static final ServiceDeclaration SERVICE = new ServiceDeclaration(
            new ServiceId("assistant"),
            ServiceKind.GENERATION,
            POOL,
            Set.of(CALLER),
            List.of(),
            Objective.DEFAULT,
            1_000,
            1_000);
    private static final int ADAPTERS = 6;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int START_MILLIS = 500;
    private static final int BUSY_MILLIS = 10_000;

    private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);

    private static EntryHost entry(int number) {
        return new EntryHost(
                new HostId("entry-" + number), Presence.LIVE, new DataCentre("east"), ADDRESS, ADDRESS, ADDRESS);
    }

    private static SimulatedCluster cluster(long seed, SimulationFaults faults) {
        SimulatedCluster cluster = new SimulatedCluster(seed, faults);
        cluster.log()
                .write(
                        LogStreams.CONFIGURATION,
                        new ConfigurationChange(
                                "initial",
                                -1,
                                "operator",
                                List.of(
                                        new Operation.PutService(SERVICE),
                                        new Operation.PutPool(new PoolDeclaration(POOL, 50, 8)))));
        for (int number = 1; number <= 3; number++) {
            boolean checksFencing = number == 3;
            cluster.addEngine(new Endpoint(
                    new EndpointId("engine-" + number),
                    EndpointKind.ENGINE,
                    Presence.LIVE,
                    new DataCentre("east"),
                    POOL,
                    ADDRESS,
                    2,
                    2,
                    checksFencing));
        }
        for (int number = 1; number <= 3; number++) {
            cluster.addHost(entry(number));
        }
        return cluster;
    }

    private static GenerationRequest request(SimulatedCluster cluster, String id, String fingerprint, int adapter) {
        return new GenerationRequest(
                new RequestId(id),
                SERVICE,
                new AdapterVersion(SERVICE.id(), new AdapterId("adapter-" + adapter), "v1"),
                CALLER,
                PriorityClass.STANDARD,
                cluster.now().plusMillis(DEADLINE_MILLIS),
                0,
                new Fingerprint(fingerprint),
                List.of());
    }

    private static void arrive(SimulatedCluster cluster, String id, String fingerprint) {
        List<SimulatedHost> ready = cluster.hosts().stream()
                .filter(host ->
                        !host.isKilled() && !host.isPaused() && host.reducer().isReady())
                .toList();
        if (!ready.isEmpty()) {
            SimulatedHost host = ready.get(cluster.random(ready.size()));
            GenerationRequest request =
                    request(cluster, id, fingerprint, fingerprint.equals("poison") ? 0 : cluster.random(ADAPTERS));
            host.arrive(request);
            if (cluster.chance(5)) {
                cluster.after(cluster.random(2_000), () -> host.withdraw(request.id()));
            }
        }
    }

    private static void scheduleFaults(SimulatedCluster cluster, SimulationFaults faults) {
        List<SimulatedHost> hosts = cluster.hosts();
        if (faults.restarts()) {
            List<SimulatedEngine> engines = cluster.engines();
            cluster.after(1_000 + cluster.random(8_000), () -> engines.get(cluster.random(3))
                    .restart());
        }
        if (faults.kills() && cluster.chance(50)) {
            cluster.after(1_000 + cluster.random(5_000), () -> cluster.kill(hosts.get(cluster.random(3))));
            cluster.after(5_000, () -> cluster.addHost(entry(4)));
        }
        if (faults.outages() && cluster.chance(30)) {
            int start = 3_000 + cluster.random(5_000);
            cluster.after(start, () -> cluster.log().setDown(true));
            cluster.after(start + 2_000, () -> cluster.log().setDown(false));
        }
    }

    private static void run(SimulatedCluster cluster) {
        cluster.runUntil(BUSY_MILLIS);
        cluster.stopFaults();
        cluster.runUntil(BUSY_MILLIS + DEADLINE_MILLIS + 1_000);
        cluster.hosts().forEach(SimulatedHost::checkAllEnded);
    }

    @Property(seed = "1123", tries = 1_000)
    void adaptersInUseStayLoadedAndEveryRequestEnds(@ForAll long seed) {
        SimulatedCluster cluster = cluster(seed, SimulationFaults.ALL);
        scheduleFaults(cluster, SimulationFaults.ALL);
        for (int number = 0; number < 60; number++) {
            String id = "request-" + number;
            cluster.after(START_MILLIS + cluster.random(9_000), () -> arrive(cluster, id, id));
        }
        run(cluster);
        assertEquals(List.of(), cluster.violations(), "seed " + seed);
    }

    /** Without other faults, a request that crashes engines is refused after three crashes, and no other request is. */
    @Property(seed = "4505", tries = 200)
    void requestThatCrashesEnginesIsRefusedAfterThreeCrashes(@ForAll long seed) {
        SimulatedCluster cluster = cluster(seed, SimulationFaults.NONE);
        for (int number = 0; number < 40; number++) {
            String id = "request-" + number;
            cluster.after(2_000 + cluster.random(8_000), () -> arrive(cluster, id, id));
        }
        AtomicInteger sent = new AtomicInteger();
        Runnable send = () -> arrive(cluster, "poison-" + sent.incrementAndGet(), "poison");
        cluster.onFailure(request -> {
            if (cluster.isPoison(request.fingerprint())
                    && sent.get() < 6
                    && cluster.now().toEpochMilli() < BUSY_MILLIS) {
                cluster.after(cluster.random(500), send);
            }
        });
        cluster.after(2_500, send);
        run(cluster);
        int crashes = cluster.engines().stream()
                .mapToInt(engine -> engine.crashesOf(new Fingerprint("poison")))
                .sum();
        assertTrue(crashes <= 3, crashes + " crashes, seed " + seed);
        assertEquals(List.of(), cluster.violations(), "seed " + seed);
        assertTrue(
                cluster.refusedForCrashes().stream().allMatch(each -> cluster.isPoison(each.fingerprint())),
                "a request that crashes no engine was refused, seed " + seed);
    }
}
