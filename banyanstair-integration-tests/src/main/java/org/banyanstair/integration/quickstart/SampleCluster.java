package org.banyanstair.integration.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.testsupport.engine.EngineSettings;

/** The cluster of the quick start, with a temporary directory that is deleted on close. */
final class SampleCluster implements AutoCloseable {
    private static final int HOSTS = 3;
    private static final int ENGINES_PER_POOL = 2;
    private static final int SERVICE_ENDPOINTS = 2;

    private final Path directory;
    private final Cluster cluster;

    SampleCluster() throws IOException {
        directory = Files.createTempDirectory("banyanstair-quickstart");
        cluster = new Cluster(plan(), directory);
    }

    private static ClusterPlan plan() {
        List<EngineSettings> engines = Collections.nCopies(ENGINES_PER_POOL, EngineSettings.DEFAULT);
        return new ClusterPlan(
                HOSTS,
                List.of(
                        new ClusterPlan.PoolPlan("assistant", engines),
                        new ClusterPlan.PoolPlan("proof-review", engines)),
                SERVICE_ENDPOINTS,
                Duration.ofHours(1),
                Duration.ofMillis(200),
                List.of());
    }

    Cluster cluster() {
        return cluster;
    }

    /**
     * Starts the cluster and applies the declarations in a file.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalStateException if the declarations are refused
     */
    void start(Path declarations) throws IOException {
        String text = Files.readString(declarations);
        cluster.start();
        ToolResult applied = cluster.apply(text);
        if (applied.code() != 0) {
            throw new IllegalStateException("apply ended with code " + applied.code() + ": " + applied.errors());
        }
    }

    @Override
    public void close() {
        cluster.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException exception) {
            System.err.println("cannot delete temporary directory " + directory + ": " + exception.getMessage());
        }
    }
}
