package org.banyanstair.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.banyanstair.errors.Failure;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.GenerationRequest;

/** Discrete-event simulation of hosts, engines, log, network and host list; deterministic for a given seed. */
final class SimulatedCluster {
    static final int LONGEST_DELAY_MILLIS = 400;

    private static final int TICK_MILLIS = 120;
    private static final int LOST_PERCENT = 4;
    private static final int DUPLICATED_PERCENT = 4;

    private final Random random;
    private final SimulationFaults faults;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
    private final SimulatedLog log = new SimulatedLog(this);
    private final Map<EndpointId, SimulatedEngine> engines = new LinkedHashMap<>();
    private final Map<HostId, SimulatedHost> hosts = new LinkedHashMap<>();
    private final Map<HostId, EntryHost> listedHosts = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<GenerationRequest> refusedForCrashes = new ArrayList<>();
    private long nowMillis;
    private long order;
    private long hostListVersion;
    private boolean faultsStopped;
    private Consumer<GenerationRequest> onFailure = request -> {};

    private record Step(long at, long order, Runnable action) {}

    SimulatedCluster(long seed, SimulationFaults faults) {
        this.random = new Random(seed);
        this.faults = faults;
    }

    Instant now() {
        return Instant.ofEpochMilli(nowMillis);
    }

    int random(int bound) {
        return random.nextInt(bound);
    }

    boolean chance(int percent) {
        return !faultsStopped && random.nextInt(100) < percent;
    }

    /** Mostly a few milliseconds, sometimes much longer, so that messages are reordered. */
    int delay() {
        return chance(5) ? random.nextInt(LONGEST_DELAY_MILLIS) : 1 + random.nextInt(5);
    }

    int brokenStreamPercent() {
        return faults.brokenStreamPercent();
    }

    boolean isPoison(Fingerprint fingerprint) {
        return fingerprint.value().startsWith("poison");
    }

    void after(long delayMillis, Runnable action) {
        steps.add(new Step(nowMillis + delayMillis, order++, action));
    }

    /** Stops all random faults, so that the remaining requests can end. */
    void stopFaults() {
        faultsStopped = true;
        log.setDown(false);
        hosts.values().forEach(SimulatedHost::resume);
    }

    void runUntil(long untilMillis) {
        while (!steps.isEmpty() && steps.peek().at() <= untilMillis) {
            Step step = steps.poll();
            nowMillis = step.at();
            step.action().run();
        }
        nowMillis = untilMillis;
    }

    void addViolation(String text) {
        violations.add(now().toEpochMilli() + " ms: " + text);
    }

    List<String> violations() {
        return violations;
    }

    SimulatedLog log() {
        return log;
    }

    List<SimulatedHost> hosts() {
        return List.copyOf(hosts.values());
    }

    Optional<SimulatedHost> host(HostIdentity identity) {
        return Optional.ofNullable(hosts.get(identity.host()))
                .filter(host -> host.identity().equals(identity));
    }

    SimulatedEngine engine(Endpoint endpoint) {
        return engines.get(endpoint.id());
    }

    List<SimulatedEngine> engines() {
        return List.copyOf(engines.values());
    }

    void addEngine(Endpoint endpoint) {
        engines.put(endpoint.id(), new SimulatedEngine(this, endpoint));
        hostListVersion++;
    }

    void addHost(EntryHost entry) {
        SimulatedHost host = new SimulatedHost(this, new HostIdentity(entry.id(), nowMillis));
        hosts.put(entry.id(), host);
        listedHosts.put(entry.id(), entry);
        hostListVersion++;
        host.start();
        after(0, () -> tick(host));
        after(0, () -> readHostList(host));
    }

    private void tick(SimulatedHost host) {
        if (!host.isKilled()) {
            host.deliver(Event.Tick::new);
            after(TICK_MILLIS, () -> tick(host));
        }
    }

    /** Each snapshot is at most one second old when it arrives, and snapshots arrive in order. */
    private void readHostList(SimulatedHost host) {
        HostListing listing = new HostListing(
                hostListVersion,
                List.copyOf(listedHosts.values()),
                engines.values().stream().map(SimulatedEngine::endpoint).toList());
        int lag = nowMillis == 0 ? 0 : random.nextInt(1_000);
        after(lag, () -> {
            host.deliver(at -> new Event.HostListRead(at, listing));
            if (!host.isKilled()) {
                after(200, () -> readHostList(host));
            }
        });
    }

    void send(HostIdentity sender, HostId receiver, PeerMessage message) {
        boolean local = sender.host().equals(receiver);
        if (!local && chance(LOST_PERCENT)) {
            return;
        }
        deliver(sender, receiver, message, local ? 0 : delay());
        if (!local && chance(DUPLICATED_PERCENT)) {
            deliver(sender, receiver, message, delay() + random.nextInt(2_000));
        }
    }

    private void deliver(HostIdentity sender, HostId receiver, PeerMessage message, long delay) {
        after(delay, () -> Optional.ofNullable(hosts.get(receiver))
                .ifPresent(host -> host.deliver(at -> new Event.PeerMessageReceived(at, sender, message))));
    }

    boolean pausesBeforeEffects(SimulatedHost host) {
        boolean pauses = !faultsStopped && random.nextInt(10_000) < faults.pausesPerTenThousandEvents();
        if (pauses) {
            int length = 200 + random.nextInt(6_000);
            after(length, host::resume);
            after(Math.min(length, 1_000), () -> setReachable(host, !host.isPaused() && !host.isKilled()));
            after(length + 50, () -> setReachable(host, true));
        }
        return pauses;
    }

    /** Reports to the other hosts that a host is unreachable, or reachable again. */
    void setReachable(SimulatedHost target, boolean reachable) {
        if (target.isKilled() && reachable) {
            return;
        }
        hosts.values().stream().filter(host -> host != target).forEach(host -> {
            if (reachable) {
                host.deliver(at -> new Event.PeerConnected(at, target.identity()));
            } else {
                host.deliver(
                        at -> new Event.PeerUnreachable(at, target.identity().host()));
            }
        });
    }

    void kill(SimulatedHost host) {
        host.kill();
        after(100, () -> engines.values().forEach(engine -> engine.cancelAllOf(host.identity())));
        after(500, () -> setReachable(host, false));
        after(random.nextInt(1_000), () -> {
            listedHosts.remove(host.identity().host());
            hosts.remove(host.identity().host());
            hostListVersion++;
        });
    }

    void failed(GenerationRequest request, Failure failure) {
        if (failure instanceof Failure.RequestCrashesEndpoints) {
            refusedForCrashes.add(request);
        }
        onFailure.accept(request);
    }

    void onFailure(Consumer<GenerationRequest> action) {
        onFailure = action;
    }

    List<GenerationRequest> refusedForCrashes() {
        return refusedForCrashes;
    }

    /** Checks the batch limit per engine and term, except after a restart, which may hide permits for a while. */
    void checkBatchLimits() {
        Map<String, Integer> held = new HashMap<>();
        hosts.values().stream()
                .filter(host -> !host.isKilled())
                .flatMap(host -> host.attempts().values().stream())
                .filter(attempt -> !engine(attempt.endpoint()).hasCrashed())
                .forEach(attempt -> {
                    String key = attempt.endpoint().id() + " term " + attempt.term();
                    if (held.merge(key, 1, Integer::sum) > attempt.endpoint().batchLimit()) {
                        addViolation("batch limit exceeded at " + key);
                    }
                });
    }
}
