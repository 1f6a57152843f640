package org.banyanstair.integration.cluster;

import java.time.Duration;
import java.util.List;

import org.banyanstair.testsupport.engine.EngineSettings;

/**
 * The composition of a test cluster.
 *
 * @param hosts entry hosts at the start
 * @param deskEndpoints endpoints of the plain service
 * @param logRetention time that the log keeps records
 * @param hostListLag lag of the host list
 * @param settingsLines TOML lines to append to the settings file of each daemon
 */
public record ClusterPlan(
        int hosts,
        List<PoolPlan> pools,
        int deskEndpoints,
        Duration logRetention,
        Duration hostListLag,
        List<String> settingsLines) {
    /** Copies the lists. */
    public ClusterPlan {
        pools = List.copyOf(pools);
        settingsLines = List.copyOf(settingsLines);
    }

    /** A pool of engines with its name and the settings of each engine. */
    public record PoolPlan(String name, List<EngineSettings> engines) {
        /** Copies the list. */
        public PoolPlan {
            engines = List.copyOf(engines);
        }
    }

    /** Returns the plan of a small cluster: one pool {@code assistant} of equal engines and two order-desk endpoints. */
    public static ClusterPlan of(int hosts, int engines, EngineSettings settings) {
        List<EngineSettings> engineSettings = java.util.Collections.nCopies(engines, settings);
        return new ClusterPlan(
                hosts,
                List.of(new PoolPlan("assistant", engineSettings)),
                2,
                Duration.ofHours(1),
                Duration.ofMillis(200),
                List.of());
    }
}
