package org.banyanstair.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.RequestId;

/** Chooses the engine that a request has to use, when it arrives. */
@FunctionalInterface
public interface EngineBinding {
    /** Leaves all engines open. */
    EngineBinding NONE = (request, engines) -> Optional.empty();

    /** The engine with the fewest requests. */
    EngineBinding LEAST_LOADED = (request, engines) -> leastLoaded(engines);

    /** The better of two engines that the hash of the request chooses (Mitzenmacher 2001). */
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
     * Chooses an engine.
     *
     * @param request the request
     * @param engines engines that take requests
     * @return the engine, empty to leave all open
     */
    Optional<EndpointId> bind(RequestId request, List<Load> engines);

    /**
     * Load of an engine.
     *
     * @param endpoint the engine
     * @param requests requests that run on it or are bound to it
     */
    record Load(EndpointId endpoint, int requests) {}

    private static Optional<EndpointId> leastLoaded(List<Load> engines) {
        return engines.stream()
                .min(Comparator.comparingInt(Load::requests).thenComparing(Load::endpoint))
                .map(Load::endpoint);
    }
}
