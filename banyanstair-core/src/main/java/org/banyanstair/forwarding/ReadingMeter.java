package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;

/** Tells how much of its time a runner has spent lately on reading prompts. Not safe for use by several threads. */
final class ReadingMeter {
    /** Time over which prompts count; a usual run of a request, so that those that run now are counted. */
    private static final double WINDOW_MILLISECONDS = 2000;

    /** Highest share, so that what is divided by the rest stays bounded. */
    private static final double HIGHEST_SHARE = 0.85;

    private double tokens;
    private Instant countedAt = Instant.MIN;

    /** Counts a prompt that was sent to the runner. */
    void add(int newTokens, Instant now) {
        tokens = remaining(now) + newTokens;
        countedAt = now;
    }

    void clear() {
        tokens = 0;
    }

    /** Returns the share of its time that a runner of this slowness spent on reading. */
    double share(double slowness, Instant now) {
        double share = remaining(now) / WINDOW_MILLISECONDS / ServiceTimes.PROMPT_TOKENS_PER_MILLISECOND * slowness;
        return Math.min(HIGHEST_SHARE, share);
    }

    private double remaining(Instant now) {
        if (tokens == 0) {
            return 0;
        }
        long elapsed = Math.max(0, Duration.between(countedAt, now).toMillis());
        return tokens * Math.exp(-elapsed / WINDOW_MILLISECONDS);
    }
}
