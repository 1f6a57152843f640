package org.banyanstair.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogEntry;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.StreamEntry;

/** A log service with slow, lost and rejected appends and outages; each host reads independently. */
final class SimulatedLog {
    private static final int ANSWER_LOST_PERCENT = 4;
    private static final int REQUEST_LOST_PERCENT = 2;

    private final SimulatedCluster cluster;
    private final Map<String, List<StreamEntry>> streams = new HashMap<>();
    private boolean down;

    SimulatedLog(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void setDown(boolean value) {
        down = value;
        if (!value) {
            streams.keySet().forEach(this::scheduleReads);
        }
    }

    void write(String stream, LogEntry entry) {
        entries(stream).add(new StreamEntry(entries(stream).size(), cluster.now(), Optional.of(entry)));
    }

    private List<StreamEntry> entries(String stream) {
        return streams.computeIfAbsent(stream, name -> new ArrayList<>());
    }

    void append(SimulatedHost host, Effect.AppendToLog append) {
        cluster.after(cluster.delay(), () -> appendArrived(host, append));
    }

    private void appendArrived(SimulatedHost host, Effect.AppendToLog append) {
        if (down) {
            answer(
                    host,
                    at -> new Event.AppendRejected(at, append.appendId(), new Failure.LogUnavailable(append.stream())));
            return;
        }
        if (!cluster.chance(REQUEST_LOST_PERCENT)) {
            append.entries().forEach(entry -> write(append.stream(), entry));
            scheduleReads(append.stream());
        }
        // A lost answer is reported as an append of unknown outcome, after the append time-out of the host.
        long delay = cluster.chance(ANSWER_LOST_PERCENT) ? 1_000 : cluster.delay();
        cluster.after(delay, () -> answer(host, at -> new Event.AppendEnded(at, append.appendId())));
    }

    private static void answer(SimulatedHost host, java.util.function.Function<Instant, Event> event) {
        host.deliver(event);
    }

    private void scheduleReads(String stream) {
        cluster.hosts().forEach(host -> scheduleRead(host, stream));
    }

    void scheduleRead(SimulatedHost host, String stream) {
        cluster.after(cluster.delay(), () -> host.runUnlessPaused(() -> read(host, stream)));
    }

    private void read(SimulatedHost host, String stream) {
        if (!host.readPositions().containsKey(stream)) {
            return;
        }
        if (down) {
            host.deliver(at -> new Event.StreamUnavailable(at, stream));
            return;
        }
        int from = host.readPositions().get(stream);
        List<StreamEntry> all = entries(stream);
        List<StreamEntry> unread = List.copyOf(all.subList(from, all.size()));
        host.readPositions().put(stream, all.size());
        long end = all.size();
        host.deliver(at -> new Event.StreamRead(at, stream, end, end, unread));
    }
}
