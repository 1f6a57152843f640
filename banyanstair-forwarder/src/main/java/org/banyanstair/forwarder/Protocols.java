package org.banyanstair.forwarder;

/**
 * The protocols of the surroundings.
 *
 * @param callers of callers
 * @param endpoints of endpoints
 * @param log of the log service
 * @param directory of the directory and the readiness question
 */
public record Protocols(
        CallerProtocol callers, EndpointProtocol endpoints, LogProtocol log, DirectoryProtocol directory) {}
