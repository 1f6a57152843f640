package org.banyanstair.ownership;

import org.banyanstair.model.HostIdentity;

/**
 * Who decides for a pool.
 *
 * @param owner the host
 * @param term offset of its claim; also the fencing number of its orders
 */
public record Ownership(HostIdentity owner, long term) {}
