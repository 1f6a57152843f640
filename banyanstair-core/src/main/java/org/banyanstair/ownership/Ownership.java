package org.banyanstair.ownership;

import org.banyanstair.model.HostIdentity;

/**
 * Owner of a pool: the host that schedules its requests and loads.
 *
 * @param term log offset of the owner's claim; also the fencing token of its commands
 */
public record Ownership(HostIdentity owner, long term) {}
