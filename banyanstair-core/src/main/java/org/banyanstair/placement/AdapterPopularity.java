package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.banyanstair.model.AdapterVersion;

/** Request count per adapter with exponential decay, so that the ranking follows demand. Not thread-safe. */
final class AdapterPopularity {
    private static final Duration HALF_LIFE = Duration.ofMinutes(2);

    /** Scores below this are removed, which limits the map to adapters requested within about the last half hour. */
    private static final double NEGLIGIBLE_SCORE = 0.00002;

    private final Map<AdapterVersion, Score> scores = new HashMap<>();

    private Instant nextCleanupAt = Instant.MIN;

    private record Score(double value, Instant at) {
        double at(Instant now) {
            double halfLives = Duration.between(at, now).toMillis() / (double) HALF_LIFE.toMillis();
            return value * Math.pow(0.5, Math.max(0, halfLives));
        }
    }

    void recordRequest(AdapterVersion adapter, Instant now) {
        scores.put(adapter, new Score(score(adapter, now) + 1, now));
    }

    double score(AdapterVersion adapter, Instant now) {
        Score score = scores.get(adapter);
        return score == null ? 0 : score.at(now);
    }

    /** Removes negligible scores, at most once per half-life. */
    void removeNegligibleScores(Instant now) {
        if (!now.isBefore(nextCleanupAt)) {
            nextCleanupAt = now.plus(HALF_LIFE);
            scores.values().removeIf(score -> score.at(now) < NEGLIGIBLE_SCORE);
        }
    }
}
