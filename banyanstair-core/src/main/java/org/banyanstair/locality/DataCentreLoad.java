package org.banyanstair.locality;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What a host knows of one service in one data centre.
 *
 * @param startMilliseconds median over its endpoints of the estimated time until a request starts; empty if it has none
 *     in use
 * @param demand requests of the hosts of this data centre that run anywhere
 * @param capacity requests that its endpoints can run at once
 * @param current whether hosts of this data centre have reported lately
 */
public record DataCentreLoad(
        String dataCentre, OptionalDouble startMilliseconds, double demand, double capacity, boolean current) {
    public DataCentreLoad {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(startMilliseconds, "startMilliseconds");
        if (!(demand >= 0) || !(capacity >= 0)) {
            throw new IllegalArgumentException("negative load");
        }
    }
}
