package org.banyanstair.membership;

/** What an endpoint runs. */
public enum EndpointKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
