package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.banyanstair.testsupport.endpoint.FaultSettings;
import org.tinylog.Logger;

/**
 * Implements continuous batching: queues, runs and resumes generations.
 *
 * <p>Not thread-safe; used only on the engine's scheduler thread.
 */
final class Batch {
    private static final long ENDED_STREAM_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long HOUSEKEEPING_INTERVAL_MILLISECONDS = 20;

    /** Limits how much late timers are compensated, so that a process that was suspended does not emit a burst. */
    private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EngineSettings settings;
    private final FaultSettings<EngineFault> faults;
    private final ScheduledExecutorService scheduler;
    private final Predicate<String> isLoaded;
    private final Runnable crash;
    private final MutableEngineCounters counts;
    private final PrefixCache cache;
    private final TreeSet<Generation> waiting = new TreeSet<>(
            Comparator.comparing((Generation each) -> !each.premium).thenComparing(each -> each.arrival));
    private final List<Generation> running = new ArrayList<>();
    private final Map<String, Generation> generationsById = new HashMap<>();
    private final RunLog runLog;
    private long arrivals;
    private boolean stepScheduled;
    private long nextStepNanos;

    Batch(EngineResources resources, PrefixCache cache, Predicate<String> isLoaded, Runnable crash) {
        this.settings = resources.settings();
        this.faults = resources.faults();
        this.scheduler = resources.scheduler();
        this.counts = resources.counts();
        this.runLog = resources.runLog();
        this.cache = cache;
        this.isLoaded = isLoaded;
        this.crash = crash;
    }

    void startHousekeeping() {
        scheduler.scheduleWithFixedDelay(
                this::expireGenerations,
                HOUSEKEEPING_INTERVAL_MILLISECONDS,
                HOUSEKEEPING_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    List<Generation> running() {
        return running;
    }

    int waitingCount() {
        return waiting.size();
    }

    Optional<Generation> findGeneration(String requestId) {
        return Optional.ofNullable(generationsById.get(requestId));
    }

    void submit(Generation generation) {
        generationsById.put(generation.requestId, generation);
        enqueue(generation);
    }

    /** Queues a generation that ended because its client disconnected. */
    void requeue(Generation generation) {
        generation.outcome = RunOutcome.RUNNING;
        generation.ended = Optional.empty();
        enqueue(generation);
    }

    void onDisconnect(Generation generation) {
        generation.detach();
        generation.disconnectedAtNanos = System.nanoTime();
        if (settings.keepBrokenStreamsSeconds() == 0) {
            end(generation, RunOutcome.DISCONNECTED);
        }
    }

    /** Removes a generation from the batch or the queue and sets its outcome; no effect if it has ended. */
    void end(Generation generation, RunOutcome outcome) {
        boolean wasWaiting = waiting.remove(generation);
        if (!wasWaiting && !running.remove(generation)) {
            return;
        }
        generation.outcome = outcome;
        generation.endedAtNanos = System.nanoTime();
        generation.ended = Optional.of(Instant.now());
        if (generation.started != null) {
            runLog.update(generation);
        }
        if (outcome != RunOutcome.COMPLETED) {
            generation.closeConnection();
        }
        if (outcome == RunOutcome.CANCELLED || outcome == RunOutcome.UNLOADED) {
            generationsById.remove(generation.requestId, generation);
        }
    }

    /** Ends all generations without completing their responses, as a process crash does. */
    void clear() {
        List.copyOf(waiting).forEach(each -> end(each, RunOutcome.CRASHED));
        List.copyOf(running).forEach(each -> end(each, RunOutcome.CRASHED));
        generationsById.clear();
    }

    List<Generation> generationsUsing(String adapter, boolean inBatch) {
        return (inBatch ? running.stream() : waiting.stream())
                .filter(each -> each.adapter.equals(adapter))
                .toList();
    }

    private void enqueue(Generation generation) {
        generation.arrival = arrivals++;
        waiting.add(generation);
        if (!stepScheduled) {
            stepScheduled = true;
            nextStepNanos = System.nanoTime();
            scheduler.execute(this::step);
        }
    }

    private void step() {
        admit();
        if (running.isEmpty()) {
            stepScheduled = false;
            return;
        }
        nextStepNanos = Math.max(System.nanoTime() - MAX_CATCH_UP_NANOS, nextStepNanos + stepNanos());
        counts.steps++;
        for (Generation generation : List.copyOf(running)) {
            try {
                advance(generation);
            } catch (RuntimeException exception) {
                // A stream that cannot be written must not stop the others.
                Logger.error(
                        exception,
                        "request {}: cannot write token events; ending the generation",
                        generation.requestId);
                end(generation, RunOutcome.DISCONNECTED);
            }
        }
        long pause = nextStepNanos - System.nanoTime();
        if (pause > 0) {
            scheduler.schedule(this::step, pause, TimeUnit.NANOSECONDS);
        } else {
            scheduler.execute(this::step);
        }
    }

    private long stepNanos() {
        long others = running.size() - 1L;
        long micros = settings.stepMicroseconds() + others * settings.stepMicrosecondsPerRequest();
        long slow = faults.value(EngineFault.SLOW_STEP_MILLISECONDS) * 1_000;
        return settings.stepMicroseconds() == 0 ? slow * 1_000 : (micros + slow) * 1_000;
    }

    private void advance(Generation generation) {
        if (!generation.isComplete()) {
            generation.producedTokens++;
            counts.tokens++;
        }
        generation.deliver();
        if (generation.isComplete()) {
            end(generation, RunOutcome.COMPLETED);
        }
    }

    private void admit() {
        while (running.size() < settings.batchLimit() && !waiting.isEmpty()) {
            Generation next = waiting.first();
            if (!isLoaded.test(next.adapter)) {
                rejectWaiting(next, 404, "adapter_not_loaded", "the adapter is not loaded");
            } else if (next.deadline.isBefore(Instant.now())) {
                rejectWaiting(next, 408, "deadline_passed", "the deadline passed before the request ran");
            } else {
                waiting.remove(next);
                startGeneration(next);
            }
        }
    }

    private void startGeneration(Generation generation) {
        running.add(generation);
        boolean first = generation.started == null;
        if (first) {
            generation.started = Instant.now();
            counts.generations++;
            runLog.add(generation);
        }
        cache.recordUse(EngineText.prefixHash(generation.adapter, generation.prompt), System.nanoTime());
        if (!settings.crashMarker().isEmpty() && generation.prompt.contains(settings.crashMarker())) {
            crash.run();
        } else if (first && faults.consume(EngineFault.LOSE_GENERATION_ANSWERS)) {
            generation.closeConnection();
            onDisconnect(generation);
        }
    }

    /** Removes a waiting generation and responds with an error if a client is connected. */
    private void rejectWaiting(Generation generation, int status, String code, String message) {
        waiting.remove(generation);
        generationsById.remove(generation.requestId, generation);
        if (generation.exchange != null) {
            generation.exchange.respondError(status, code, message);
            generation.detach();
        }
    }

    private void expireGenerations() {
        long now = System.nanoTime();
        Instant time = Instant.now();
        List<Generation> active = new ArrayList<>(running);
        active.addAll(waiting);
        for (Generation each : active) {
            long disconnectedNanos = now - each.disconnectedAtNanos;
            if (each.exchange == null
                    && disconnectedNanos >= TimeUnit.SECONDS.toNanos(settings.keepBrokenStreamsSeconds())) {
                end(each, RunOutcome.DISCONNECTED);
            } else if (each.started != null && each.deadline.isBefore(time)) {
                end(each, RunOutcome.DEADLINE_PASSED);
            }
        }
        generationsById
                .values()
                .removeIf(each -> each.ended.isPresent() && now - each.endedAtNanos >= ENDED_STREAM_RETENTION_NANOS);
    }
}
