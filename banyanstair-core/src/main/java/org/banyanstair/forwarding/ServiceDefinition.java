package org.banyanstair.forwarding;

import java.util.Optional;

/**
 * A service that requests can be passed on to.
 *
 * @param name name of the service
 * @param engine capacity of its runners; empty for a plain service
 */
public record ServiceDefinition(String name, Optional<EngineCapacity> engine) {}
