package org.banyanstair.forwarding;

import java.util.List;

/**
 * A runner's answer when it is asked for its state.
 *
 * @param commandSequence commands that it has accepted
 * @param loaded adapters that it holds
 * @param loading adapters that are on their way to it
 */
public record RunnerState(long commandSequence, List<LoadedAdapter> loaded, List<LoadedAdapter> loading) {}
