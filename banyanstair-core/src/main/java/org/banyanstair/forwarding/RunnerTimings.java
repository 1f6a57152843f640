package org.banyanstair.forwarding;

import java.time.Duration;

/** Times of runners and of the weight store that estimates start from. */
final class RunnerTimings {
    /** Prompt tokens that a runner reads in a millisecond; from the users' sheet of engines. */
    static final double PROMPT_TOKENS_PER_MILLISECOND = 38.7;

    /** Step of a batch in milliseconds; from the users' sheet of engines. */
    static final double STEP_MILLISECONDS = 5.47;

    /** Time to load an adapter; the longest in the users' sheets of models, 288 ms, and an answer. */
    static final Duration ADAPTER_LOAD = Duration.ofMillis(290);

    /** Time to load an adapter that the runner held lately; a tenth, from the protocol of runners, and an answer. */
    static final Duration ADAPTER_RELOAD = Duration.ofMillis(32);

    /** Time for which a usual request uses its adapter; from the users' sheet, 13 to 73 events of 4 tokens. */
    static final Duration ADAPTER_USE = Duration.ofMillis(1800);

    /** Adapters on their way to one runner at once; from the protocol of runners. */
    static final int LOADS_PER_RUNNER = 4;

    /** Adapters on their way to all runners at once for which loads are not slowed down; from the users' sheets. */
    static final int MINIMUM_LOADS_IN_TRANSIT = 8;

    /** Runners for each load in transit where there are many; the larger sheets give 40 for 63 runners. */
    static final double RUNNERS_PER_LOAD = 1.6;

    private RunnerTimings() {}

    static int loadsInTransit(int runners) {
        return Math.max(MINIMUM_LOADS_IN_TRANSIT, (int) (runners / RUNNERS_PER_LOAD));
    }
}
