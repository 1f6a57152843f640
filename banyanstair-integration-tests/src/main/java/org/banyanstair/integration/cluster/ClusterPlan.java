package org.banyanstair.integration.cluster;

import java.time.Duration;
import java.util.List;

import org.banyanstair.testsupport.engine.EngineSettings;

/**
 * What a cluster consists of.
 *
 * @param hosts entry hosts at the start
 * @param pools pools of engines
 * @param deskEndpoints endpoints of the plain service
 * @param logRetention time that the log keeps records
 * @param hostListLag lag of the host list
 * @param settingsLines further lines of the daemons' settings files, in TOML
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

    /**
     * One pool of engines.
     *
     * @param name name of the pool
     * @param engines settings of each engine
     */
    public record PoolPlan(String name, List<EngineSettings> engines) {
        /** Copies the list. */
        public PoolPlan {
            engines = List.copyOf(engines);
        }
    }

    /**
     * A small cluster: one pool {@code assistant} of engines with the same settings and two desk endpoints.
     *
     * @param hosts entry hosts
     * @param engines number of engines
     * @param settings settings of each engine
     * @return the plan
     */
    public static ClusterPlan of(int hosts, int engines, EngineSettings settings) {
        List<EngineSettings> all = java.util.Collections.nCopies(engines, settings);
        return new ClusterPlan(
                hosts,
                List.of(new PoolPlan("assistant", all)),
                2,
                Duration.ofHours(1),
                Duration.ofMillis(200),
                List.of());
    }
}
