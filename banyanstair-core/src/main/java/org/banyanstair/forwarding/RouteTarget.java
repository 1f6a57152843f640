package org.banyanstair.forwarding;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param weight share relative to the other targets of the route, at least 0
 */
public record RouteTarget(String service, double weight) {
    public RouteTarget {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException(
                    "weight of target " + service + " is " + weight + ", must be at least 0");
        }
    }
}
