package org.banyanstair.forwarder;

/** The protocols of the external systems that a forwarder talks to. */
public record Protocols(
        CallerProtocol callers, EndpointProtocol endpoints, LogProtocol log, DirectoryProtocol directory) {}
