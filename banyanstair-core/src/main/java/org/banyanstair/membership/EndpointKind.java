package org.banyanstair.membership;

/** Kind of an endpoint. */
public enum EndpointKind {
    /** An engine that serves generations with LoRA adapters. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
