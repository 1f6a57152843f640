package org.banyanstair.placement;

import java.util.function.Supplier;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.membership.Membership;
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/**
 * What a pool owner needs from its host.
 *
 * @param membership hosts and endpoints
 * @param settings settings of the host
 * @param sequence source of numbers
 * @param ownership claims and pending unloads
 * @param suspects crash suspects of the whole system
 * @param configuration gives the configuration in force
 */
public record PoolContext(
        Membership membership,
        ReducerSettings settings,
        Sequence sequence,
        OwnershipState ownership,
        CrashSuspects suspects,
        Supplier<Configuration> configuration) {}
