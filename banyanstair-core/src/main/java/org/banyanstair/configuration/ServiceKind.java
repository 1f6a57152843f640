package org.banyanstair.configuration;

/** Type of the endpoints that serve a service. */
public enum ServiceKind {
    /** Engines that generate text with LoRA adapters. */
    GENERATION,
    /** Plain services, to which calls are passed through. */
    PLAIN
}
