package org.banyanstair.integration.bench;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Options and directories of a benchmark run.
 *
 * @param brief whether to run only long enough to check the benchmark itself
 * @param work directory for settings files and output of the daemons
 */
record BenchmarkRun(boolean brief, long seed, Path results, Path work) {
    /** Returns the duration of a measurement, which is shorter in a brief run. */
    Duration time(int seconds, int briefSeconds) {
        return Duration.ofSeconds(brief ? briefSeconds : seconds);
    }

    /** Returns the path of a result file of a benchmark. */
    Path file(String name, String extension) {
        return results.resolve(name + (brief ? "-brief." : ".") + extension);
    }
}
