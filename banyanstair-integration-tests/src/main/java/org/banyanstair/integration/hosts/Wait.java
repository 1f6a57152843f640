package org.banyanstair.integration.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;

/** Sleeps and waits for conditions with a time limit. */
public final class Wait {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Wait() {}

    /** Sleeps until an instant; returns early if the thread is interrupted. */
    public static void sleepUntil(Instant instant) {
        try {
            Thread.sleep(Math.max(0, Duration.between(Instant.now(), instant).toMillis()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sleeps for a duration; returns early if the thread is interrupted. */
    public static void sleep(Duration time) {
        sleepUntil(Instant.now().plus(time));
    }

    /**
     * Polls a condition every 20 ms until it holds.
     *
     * @param limit longest time to wait
     * @return whether the condition held within the limit
     */
    public static boolean untilTrue(Duration limit, BooleanSupplier condition) {
        Instant deadline = Instant.now().plus(limit);
        while (!condition.getAsBoolean()) {
            if (!Instant.now().isBefore(deadline)) {
                return false;
            }
            sleep(POLL_INTERVAL);
        }
        return true;
    }
}
