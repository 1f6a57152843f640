package org.banyanstair.crashes;

import java.time.Instant;

import org.banyanstair.model.EndpointId;

/**
 * A crash of an endpoint while it ran a request.
 *
 * @param started start time of the endpoint's process, as in its topic entry
 * @param at when it crashed, on this host's clock
 * @param cleared whether an endpoint has completed the request since
 */
public record EndpointCrash(EndpointId endpoint, long started, Instant at, boolean cleared) {}
