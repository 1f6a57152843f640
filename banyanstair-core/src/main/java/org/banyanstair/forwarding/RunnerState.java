package org.banyanstair.forwarding;

import java.util.List;
import java.util.Set;

/**
 * A runner's answer when it is asked for its state.
 *
 * @param commandSequence commands that it has accepted
 * @param busy whether it loads or unloads a base model
 * @param baseModels base models that it holds
 * @param loaded adapters that it holds
 * @param loading adapters that are on their way to it
 */
public record RunnerState(
        long commandSequence,
        boolean busy,
        Set<String> baseModels,
        List<LoadedAdapter> loaded,
        List<LoadedAdapter> loading) {}
