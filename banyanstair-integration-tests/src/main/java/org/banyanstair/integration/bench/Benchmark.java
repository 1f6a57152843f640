package org.banyanstair.integration.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A benchmark that {@link BenchmarkMain} can run by its name. */
@FunctionalInterface
interface Benchmark {
    /**
     * Runs the benchmark within its own time limits and returns its figures.
     *
     * @throws Exception if the system could not be started or a figure could not be read
     */
    ObjectNode run(BenchmarkRun run) throws Exception;
}
