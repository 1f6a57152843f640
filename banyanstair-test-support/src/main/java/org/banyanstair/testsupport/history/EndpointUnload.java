package org.banyanstair.testsupport.history;

import java.time.Instant;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;

/**
 * Describes one adapter unload as the engine recorded it.
 *
 * @param endpoint the engine
 * @param adapter adapter version that was unloaded
 * @param at when the unload took effect
 */
public record EndpointUnload(EndpointId endpoint, AdapterVersion adapter, Instant at) {}
