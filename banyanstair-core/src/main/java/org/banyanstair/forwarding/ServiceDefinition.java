package org.banyanstair.forwarding;

import java.util.Optional;

/**
 * A service to which requests can be forwarded.
 *
 * @param engine capacity of its runners; empty for a plain service
 */
public record ServiceDefinition(String name, Optional<EngineCapacity> engine) {}
