package org.banyanstair.integration.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;

/** Waits that end with a deadline. */
public final class Wait {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Wait() {}

    /**
     * Sleeps until an instant; returns early if the thread is interrupted.
     *
     * @param instant the instant
     */
    public static void sleepUntil(Instant instant) {
        try {
            Thread.sleep(Math.max(0, Duration.between(Instant.now(), instant).toMillis()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sleeps for a time.
     *
     * @param time the time
     */
    public static void sleep(Duration time) {
        sleepUntil(Instant.now().plus(time));
    }

    /**
     * Waits for a condition.
     *
     * @param limit longest time to wait
     * @param condition the condition
     * @return whether it came true in time
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
