package org.banyanstair.configuration;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.PoolId;

/**
 * The share of the weight store that a pool of engines may use.
 *
 * <p>The sum of all shares must not exceed the capacity of the store.
 *
 * @param loadsPerSecond adapter loads per second, above 0 and at most 1,000
 * @param loadsInTransit maximum concurrent loads, 1 to 1,000
 */
public record PoolDeclaration(PoolId id, double loadsPerSecond, int loadsInTransit) {
    /** Default for a pool without a declaration. */
    public static final double DEFAULT_LOADS_PER_SECOND = 1;

    /** Default for a pool without a declaration. */
    public static final int DEFAULT_LOADS_IN_TRANSIT = 2;

    /** Checks the ranges. */
    public PoolDeclaration {
        if (!(loadsPerSecond > 0 && loadsPerSecond <= 1_000)) {
            throw new FailureException(
                    new Failure.InvalidField("pool.loads-per-second", "a number above 0 and at most 1000"));
        }
        if (loadsInTransit < 1 || loadsInTransit > 1_000) {
            throw new FailureException(
                    new Failure.InvalidField("pool.loads-in-transit", "a whole number from 1 to 1000"));
        }
    }

    /** Returns the default declaration of a pool. */
    public static PoolDeclaration defaultFor(PoolId id) {
        return new PoolDeclaration(id, DEFAULT_LOADS_PER_SECOND, DEFAULT_LOADS_IN_TRANSIT);
    }
}
