package org.banyanstair.server.http;

import java.util.Objects;

import org.banyanstair.errors.Failure;

/**
 * A request that is rejected before it reaches a route, passed along the pipeline of its connection in the place of the
 * request.
 */
record RejectedRequest(Failure failure) {
    RejectedRequest {
        Objects.requireNonNull(failure);
    }
}
