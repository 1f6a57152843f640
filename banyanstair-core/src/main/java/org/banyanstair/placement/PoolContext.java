package org.banyanstair.placement;

import java.util.function.Supplier;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.membership.Membership;
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/**
 * Services and shared state that the host gives to a pool owner.
 *
 * @param sequence source of sequence numbers
 * @param ownership pool owners and pending unloads
 * @param suspects crash suspects of all pools
 * @param configuration supplies the configuration in force
 */
public record PoolContext(
        Membership membership,
        ReducerSettings settings,
        Sequence sequence,
        OwnershipState ownership,
        CrashSuspects suspects,
        Supplier<Configuration> configuration) {}
