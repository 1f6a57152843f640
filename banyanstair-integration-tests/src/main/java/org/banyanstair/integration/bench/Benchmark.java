package org.banyanstair.integration.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** One benchmark. */
@FunctionalInterface
interface Benchmark {
    /**
     * Runs the benchmark; it ends within the limits that it sets itself.
     *
     * @throws Exception if the system could not be started or a figure could not be read
     */
    ObjectNode run(BenchmarkRun run) throws Exception;
}
