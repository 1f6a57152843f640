package org.banyanstair.ownership;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;

/**
 * An announced unload whose end was not seen.
 *
 * @param announcer host that announced it
 * @param incarnation incarnation of the engine
 * @param adapter what was to be unloaded
 */
public record PendingUnload(HostIdentity announcer, EndpointId endpoint, long incarnation, AdapterVersion adapter) {}
