package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.testsupport.endpoint.FaultSettings;
import org.junit.jupiter.api.Test;

import static org.banyanstair.testsupport.engine.EngineTestClient.await;
import static org.banyanstair.testsupport.engine.EngineTestClient.body;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a step rate that falls below the configured one when timers fire late. */
class BatchTest {
    private static final int TOKENS = 300;

    private static final long TIMER_DELAY_MILLISECONDS = 5;

    /** Fires timers late, as on an overloaded machine. */
    private static final class DelayedScheduler extends ScheduledThreadPoolExecutor {
        private final AtomicInteger waits = new AtomicInteger();

        DelayedScheduler() {
            super(1);
        }

        @Override
        public void execute(Runnable task) {
            super.schedule(task, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            waits.incrementAndGet();
            long late = TimeUnit.MILLISECONDS.toNanos(TIMER_DELAY_MILLISECONDS);
            return super.schedule(task, unit.toNanos(delay) + late, TimeUnit.NANOSECONDS);
        }
    }

    @Test
    void lateTimersDoNotReduceStepRate() throws Exception {
        ObjectNode settings = Mappers.JSON.valueToTree(EngineSettings.DEFAULT);
        settings.put("stepMicroseconds", 1_000).put("stepMicrosecondsPerRequest", 0);
        EngineSettings paced = Mappers.JSON.treeToValue(settings, EngineSettings.class);
        DelayedScheduler scheduler = new DelayedScheduler();
        try {
            MutableEngineCounters counts = new MutableEngineCounters();
            EngineResources resources =
                    new EngineResources(paced, new FaultSettings<>(EngineFault.class), scheduler, counts, new RunLog());
            Batch batch = new Batch(resources, new PrefixCache(paced), adapter -> true, () -> {});
            Generation generation =
                    new Generation("r", Mappers.JSON.readTree(body("p", TOKENS)), false, false, Instant.MAX);
            scheduler
                    .submit(() -> {
                        batch.submit(generation);
                        return true;
                    })
                    .get();
            await(
                    "the generation ends",
                    () -> scheduler.submit(() -> generation.isComplete()).get());
            assertEquals(TOKENS, counts.tokens);
            // Each wait takes 6 ms, so with catch-up one step in six waits; without it, every second step would.
            assertTrue(scheduler.waits.get() < TOKENS / 3, "waits: " + scheduler.waits.get());
        } finally {
            scheduler.shutdownNow();
        }
    }
}
