package org.banyanstair.forwarding;

import java.time.Duration;

/** Initial estimates of the timings of runners and the weight store. */
final class RunnerTimings {
    /** Prompt tokens processed per millisecond, from the engine specification. */
    static final double PROMPT_TOKENS_PER_MILLISECOND = 38.7;

    /** Duration of a decoding step of a batch, from the engine specification. */
    static final double STEP_MILLISECONDS = 5.47;

    /** Time to load an adapter: the longest in the model specifications, 288 ms, and the answer to the command. */
    static final Duration ADAPTER_LOAD = Duration.ofMillis(290);

    /**
     * Time to load an adapter that the runner held recently: a tenth of a load by the runner protocol, and the answer
     * to the command.
     */
    static final Duration ADAPTER_RELOAD = Duration.ofMillis(32);

    /** Time for which a usual request uses its adapter: 13 to 73 events of 4 tokens by the model specifications. */
    static final Duration ADAPTER_USE = Duration.ofMillis(1800);

    /** Maximum number of concurrent loads on one runner, from the runner protocol. */
    static final int LOADS_PER_RUNNER = 4;

    /**
     * Number of loads in transit over all runners that do not slow each other down, from the specifications of small
     * deployments.
     */
    static final int MINIMUM_LOADS_IN_TRANSIT = 8;

    /** Runners per load in transit in large deployments, whose specifications give 40 loads for 63 runners. */
    static final double RUNNERS_PER_LOAD = 1.6;

    private RunnerTimings() {}

    static int loadsInTransit(int runners) {
        return Math.max(MINIMUM_LOADS_IN_TRANSIT, (int) (runners / RUNNERS_PER_LOAD));
    }
}
