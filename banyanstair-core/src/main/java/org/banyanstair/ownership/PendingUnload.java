package org.banyanstair.ownership;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;

/**
 * An announced unload whose end was not recorded.
 *
 * @param announcer owner that announced the unload
 * @param incarnation incarnation of the engine
 */
public record PendingUnload(HostIdentity announcer, EndpointId endpoint, long incarnation, AdapterVersion adapter) {}
