package org.banyanstair.placement;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.reducer.Event;

/**
 * An engine that loses answers, reports stale status, and restarts without its adapters. Adds a violation when an
 * adapter in use is unloaded.
 */
final class SimulatedEngine {
    /** Less than the {@code statusLag} of the settings, which is the staleness that the owner allows for. */
    private static final int STATUS_LAG_MILLIS = 700;

    private static final int LOSS_PERCENT = 5;
    private static final int DOWN_MILLIS = 300;

    private final SimulatedCluster cluster;
    private final Endpoint endpoint;
    private final Set<AdapterVersion> loaded = new LinkedHashSet<>();
    private final Map<RunId, AdapterVersion> running = new LinkedHashMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final Map<Fingerprint, Integer> crashes = new HashMap<>();
    private long incarnation = 1;
    private long fence;
    private boolean down;
    private boolean crashed;

    record RunId(HostIdentity holder, RequestId request, int attempt) {}

    private record Snapshot(Instant at, EngineStatus status) {}

    SimulatedEngine(SimulatedCluster cluster, Endpoint endpoint) {
        this.cluster = cluster;
        this.endpoint = endpoint;
        recordSnapshot();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    boolean hasCrashed() {
        return crashed;
    }

    int crashesOf(Fingerprint fingerprint) {
        return crashes.getOrDefault(fingerprint, 0);
    }

    private void recordSnapshot() {
        Map<AdapterVersion, Integer> users = new HashMap<>();
        loaded.forEach(adapter -> users.put(
                adapter, (int) running.values().stream().filter(adapter::equals).count()));
        snapshots.addLast(new Snapshot(
                cluster.now(),
                new EngineStatus(incarnation, endpoint.slots(), endpoint.batchLimit(), users, running.size(), fence)));
    }

    EngineStatus laggingStatus() {
        Instant requestedAt = cluster.now().minusMillis(cluster.random(STATUS_LAG_MILLIS));
        while (snapshots.size() > 1
                && snapshots.peekFirst().at().isBefore(cluster.now().minusMillis(STATUS_LAG_MILLIS))) {
            Snapshot first = snapshots.removeFirst();
            if (snapshots.peekFirst().at().isAfter(requestedAt)) {
                snapshots.addFirst(first);
                break;
            }
        }
        EngineStatus status = snapshots.peekFirst().status();
        for (Snapshot each : snapshots) {
            if (!each.at().isAfter(requestedAt)) {
                status = each.status();
            }
        }
        return status;
    }

    boolean isDown() {
        return down;
    }

    void load(AdapterVersion adapter, long term, Consumer<EngineCommandResult> result) {
        executeCommand(term, result, answer -> {
            if (loaded.contains(adapter)) {
                answer.accept(new EngineCommandResult.Done());
            } else if (loaded.size() >= endpoint.slots() || cluster.chance(LOSS_PERCENT)) {
                answer.accept(new EngineCommandResult.Refused(new Failure.EndpointRefused(endpoint.id(), 409)));
            } else {
                long incarnationAtStart = incarnation;
                cluster.after(100 + cluster.random(300), () -> loadEnded(adapter, incarnationAtStart, answer));
            }
        });
    }

    private void loadEnded(AdapterVersion adapter, long incarnationAtStart, Consumer<EngineCommandResult> answer) {
        if (incarnation != incarnationAtStart || loaded.size() >= endpoint.slots()) {
            answer.accept(new EngineCommandResult.Unknown(new Failure.EndpointFailed(endpoint.id())));
            return;
        }
        loaded.add(adapter);
        recordSnapshot();
        answer.accept(new EngineCommandResult.Done());
    }

    void unload(AdapterVersion adapter, long term, Consumer<EngineCommandResult> result) {
        executeCommand(term, result, answer -> {
            List<RunId> users = running.keySet().stream()
                    .filter(run -> running.get(run).equals(adapter))
                    .toList();
            if (loaded.remove(adapter) && !users.isEmpty()) {
                cluster.addViolation("unload of " + adapter + " in use by " + users + " at " + endpoint.id());
            }
            recordSnapshot();
            answer.accept(new EngineCommandResult.Done());
        });
    }

    void raiseFence(long term, Consumer<EngineCommandResult> result) {
        executeCommand(term, result, answer -> answer.accept(new EngineCommandResult.Done()));
    }

    /** Delivers a command after a delay. Its answer may be lost; then the command often takes effect even later. */
    private void executeCommand(
            long term, Consumer<EngineCommandResult> result, Consumer<Consumer<EngineCommandResult>> action) {
        boolean lost = cluster.chance(LOSS_PERCENT);
        Consumer<EngineCommandResult> answer = end -> cluster.after(cluster.delay(), () -> result.accept(end));
        EngineCommandResult unknown = new EngineCommandResult.Unknown(new Failure.EndpointFailed(endpoint.id()));
        if (lost) {
            cluster.after(200, () -> result.accept(unknown));
        }
        cluster.after(lost ? cluster.random(1_000) : cluster.delay(), () -> {
            Consumer<EngineCommandResult> answerUnlessLost = lost ? end -> {} : answer;
            if (down) {
                answerUnlessLost.accept(unknown);
            } else if (endpoint.checksFencing() && term < fence) {
                answerUnlessLost.accept(new EngineCommandResult.Refused(new Failure.OrderFenced(endpoint.id(), term)));
            } else {
                fence = endpoint.checksFencing() ? Math.max(fence, term) : 0;
                action.accept(answerUnlessLost);
            }
        });
    }

    void start(SimulatedHost host, RunId run, AdapterVersion adapter, Fingerprint fingerprint) {
        if (host.isKilled()) {
            return;
        }
        if (down) {
            reportEnd(host, run, new AttemptOutcome.NotStarted(new Failure.EndpointUnreachable(endpoint.id())));
        } else if (!loaded.contains(adapter)) {
            reportEnd(host, run, new AttemptOutcome.NotStarted(new Failure.AdapterNotLoaded(endpoint.id(), adapter)));
        } else {
            running.put(run, adapter);
            recordSnapshot();
            if (cluster.isPoison(fingerprint)) {
                crashes.merge(fingerprint, 1, Integer::sum);
                restart();
            } else {
                cluster.after(100 + cluster.random(1_500), () -> complete(host, run));
                if (cluster.chance(cluster.brokenStreamPercent())) {
                    // The connection breaks while the engine continues the stream, so that it can be resumed.
                    cluster.after(cluster.random(500), () -> reportEnd(host, run, brokenOutcome()));
                }
            }
        }
    }

    private AttemptOutcome brokenOutcome() {
        return new AttemptOutcome.Broken(new Failure.EndpointFailed(endpoint.id()), 1);
    }

    private void complete(SimulatedHost host, RunId run) {
        if (running.remove(run) != null) {
            recordSnapshot();
            reportEnd(host, run, new AttemptOutcome.Completed());
        }
    }

    void cancel(RunId run) {
        if (running.remove(run) != null) {
            recordSnapshot();
        }
    }

    void cancelAllOf(HostIdentity holder) {
        running.keySet().removeIf(run -> run.holder().equals(holder));
        recordSnapshot();
    }

    private void reportEnd(SimulatedHost host, RunId run, AttemptOutcome outcome) {
        Function<Instant, Event> event = at -> new Event.AttemptEnded(at, run.request(), run.attempt(), outcome);
        cluster.after(cluster.delay(), () -> host.deliver(event));
    }

    /** Restarts the engine with a new incarnation; all requests and loaded adapters are lost. */
    void restart() {
        crashed = true;
        down = true;
        incarnation++;
        List<RunId> ended = List.copyOf(running.keySet());
        running.clear();
        loaded.clear();
        snapshots.clear();
        fence = 0;
        recordSnapshot();
        ended.forEach(run -> cluster.host(run.holder()).ifPresent(host -> reportEnd(host, run, brokenOutcome())));
        cluster.after(DOWN_MILLIS, () -> down = false);
    }
}
