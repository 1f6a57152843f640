package org.banyanstair.forwarding;

import java.util.List;
import java.util.Set;

/**
 * State of a runner as it reports it.
 *
 * @param commandSequence number of commands that it has accepted
 * @param busy whether it is loading or unloading a base model
 * @param baseModels base models that it holds
 * @param loaded adapters that it holds
 * @param loading adapters in transit to it
 */
public record RunnerState(
        long commandSequence,
        boolean busy,
        Set<String> baseModels,
        List<LoadedAdapter> loaded,
        List<LoadedAdapter> loading) {}
