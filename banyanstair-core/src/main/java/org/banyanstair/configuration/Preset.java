package org.banyanstair.configuration;

import java.util.List;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.PresetId;

/**
 * Parameters of request admission and placement, switched by operators to suit the load.
 *
 * @param fullness 0 spreads requests over the endpoints to keep adapter load stalls short; 1 fills batches first
 * @param standardAgeingMilliseconds time after which a waiting standard request is treated as premium
 * @param copyAfterMilliseconds time that a request waits for an engine with its adapter before another copy of the
 *     adapter is loaded
 * @param retryShare maximum ratio of retries to granted requests, 0 to 1
 * @param admitsRequests whether new requests are admitted
 */
public record Preset(
        PresetId id,
        double fullness,
        int standardAgeingMilliseconds,
        int copyAfterMilliseconds,
        double retryShare,
        boolean admitsRequests) {
    /** Preset for normal load. */
    public static final Preset ORDINARY = new Preset(new PresetId("ordinary"), 0.3, 2_000, 250, 0.1, true);

    /** Preset for peak load: fills batches before loading further copies of adapters. */
    public static final Preset PEAK = new Preset(new PresetId("peak"), 0.9, 4_000, 1_000, 0.05, true);

    /** Preset for maintenance: running requests complete, new ones are refused as not run. */
    public static final Preset MAINTENANCE = new Preset(new PresetId("maintenance"), 0.3, 2_000, 250, 0, false);

    /** The presets that exist before operators declare any. */
    public static final List<Preset> BUILT_IN = List.of(ORDINARY, PEAK, MAINTENANCE);

    private static final int MAXIMUM_MILLISECONDS = 600_000;

    /** Checks the ranges. */
    public Preset {
        checkShare("preset.fullness", fullness);
        checkShare("preset.retry-share", retryShare);
        checkMilliseconds("preset.standard-ageing-milliseconds", standardAgeingMilliseconds);
        checkMilliseconds("preset.copy-after-milliseconds", copyAfterMilliseconds);
    }

    /**
     * Returns the weight of an engine's utilization in a score whose lowest value is preferred.
     *
     * @return from 1, which spreads requests, to -1, which fills batches first
     */
    public double spreadWeight() {
        return 1 - 2 * fullness;
    }

    private static void checkShare(String field, double value) {
        if (!(value >= 0 && value <= 1)) {
            throw new FailureException(new Failure.InvalidField(field, "a number from 0 to 1"));
        }
    }

    private static void checkMilliseconds(String field, int value) {
        if (value < 0 || value > MAXIMUM_MILLISECONDS) {
            throw new FailureException(
                    new Failure.InvalidField(field, "a whole number from 0 to " + MAXIMUM_MILLISECONDS));
        }
    }
}
