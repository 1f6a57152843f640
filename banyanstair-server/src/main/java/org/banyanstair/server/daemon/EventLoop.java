package org.banyanstair.server.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.HostReducer;
import org.tinylog.Logger;

/**
 * The single thread that applies events to the reducer and executes the resulting effects.
 *
 * <p>{@link #submit} and {@link #submitHostListUpdate} are thread-safe.
 */
final class EventLoop {
    /** Interval of ticks, which is the resolution of all deadlines in the reducer. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final HostReducer reducer;
    private final InstantSource clock;
    private final Consumer<Effect> effects;
    private final Consumer<HostReducer> publisher;
    private final BlockingQueue<Function<Instant, Event>> queue = new LinkedBlockingQueue<>();
    private final Queue<Function<Instant, Event>> hostListUpdates = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean stopping;

    /**
     * Creates an event loop.
     *
     * @param reducer the reducer; confined to the loop after {@link #start}
     * @param clock supplies the time of each event
     * @param effects executes an effect; must not block
     * @param publisher publishes a snapshot of the reducer's state before the effects of an event are executed
     */
    EventLoop(HostReducer reducer, InstantSource clock, Consumer<Effect> effects, Consumer<HostReducer> publisher) {
        this.reducer = reducer;
        this.clock = clock;
        this.effects = effects;
        this.publisher = publisher;
        this.thread = new Thread(this::run, "reducer");
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopping = true;
        thread.interrupt();
    }

    /** Queues an event. Its time is taken when the reducer processes it, so that times never decrease. */
    void submit(Function<Instant, Event> event) {
        queue.add(event);
    }

    /**
     * Queues an update of the host list ahead of all other events; otherwise, permits granted in the meantime would be
     * based on an older list. Updates keep their order; an idle loop processes them at the next tick.
     */
    void submitHostListUpdate(Function<Instant, Event> update) {
        hostListUpdates.add(update);
    }

    private void run() {
        execute(reducer.start());
        Instant nextTick = clock.instant();
        while (!stopping) {
            try {
                nextTick = step(nextTick);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException exception) {
                // A failure to process one event must not terminate the loop.
                Logger.error(exception, "failed to process an event");
            }
        }
    }

    private Instant step(Instant nextTick) throws InterruptedException {
        long waitNanos = Duration.between(clock.instant(), nextTick).toNanos();
        Function<Instant, Event> event = hostListUpdates.poll();
        if (event == null && waitNanos > 0) {
            event = queue.poll(waitNanos, TimeUnit.NANOSECONDS);
        }
        Instant now = clock.instant();
        if (event != null) {
            apply(event.apply(now));
        }
        if (now.isBefore(nextTick)) {
            return nextTick;
        }
        apply(new Event.Tick(now));
        return now.plus(TICK_INTERVAL);
    }

    private void apply(Event event) {
        List<Effect> result = reducer.apply(event);
        publisher.accept(reducer);
        execute(result);
    }

    private void execute(List<Effect> result) {
        for (Effect effect : result) {
            try {
                effects.accept(effect);
            } catch (RuntimeException exception) {
                Logger.error(
                        exception,
                        "failed to execute effect {}",
                        effect.getClass().getSimpleName());
            }
        }
    }
}
