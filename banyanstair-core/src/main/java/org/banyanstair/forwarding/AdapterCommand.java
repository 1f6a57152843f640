package org.banyanstair.forwarding;

import java.util.OptionalLong;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/**
 * A command to a runner to load or unload an adapter.
 *
 * @param endpoint the runner
 * @param address its address
 * @param load whether to load; otherwise to unload
 * @param adapter the adapter
 * @param version version to load; empty for the newest
 * @param expectedSequence commands that the runner must have accepted before; it refuses this one otherwise
 * @param fence number of the claim under which this host commands the runner
 */
public record AdapterCommand(
        EndpointId endpoint,
        NetworkAddress address,
        boolean load,
        AdapterName adapter,
        OptionalLong version,
        long expectedSequence,
        long fence) {}
