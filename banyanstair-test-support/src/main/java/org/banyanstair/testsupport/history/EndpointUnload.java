package org.banyanstair.testsupport.history;

import java.time.Instant;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;

/**
 * One unload that took effect, as its engine recorded it.
 *
 * @param endpoint the engine
 * @param adapter what was unloaded
 * @param at when
 */
public record EndpointUnload(EndpointId endpoint, AdapterVersion adapter, Instant at) {}
