package org.banyanstair.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.RequestId;

/** Binds a request to an engine when it arrives (early binding). */
@FunctionalInterface
public interface EngineBinding {
    /** Binds no request: the engine is chosen when the permit is granted (late binding). */
    EngineBinding NONE = (request, engines) -> Optional.empty();

    /** Binds to the engine with the fewest requests. */
    EngineBinding LEAST_LOADED = (request, engines) -> leastLoaded(engines);

    /** Binds to the less loaded of two engines selected by the hash of the request (Mitzenmacher 2001). */
    EngineBinding RANDOM_OF_TWO = (request, engines) -> {
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        int hash = request.hashCode() * 0x9E3779B1;
        Load first = engines.get(Math.floorMod(hash, engines.size()));
        Load second = engines.get(Math.floorMod(hash >>> 15, engines.size()));
        return leastLoaded(List.of(first, second));
    };

    /**
     * Binds a request.
     *
     * @param engines load of the engines that accept permits
     * @return the engine that the request has to use, or empty if any engine may serve it
     */
    Optional<EndpointId> bind(RequestId request, List<Load> engines);

    /**
     * Load of an engine.
     *
     * @param requests number of requests that run on the engine or wait for it
     */
    record Load(EndpointId endpoint, int requests) {}

    private static Optional<EndpointId> leastLoaded(List<Load> engines) {
        return engines.stream()
                .min(Comparator.comparingInt(Load::requests).thenComparing(Load::endpoint))
                .map(Load::endpoint);
    }
}
