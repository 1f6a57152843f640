package org.banyanstair.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/**
 * A command to a runner to load a base model, or to load or unload an adapter.
 *
 * @param load true to load, false to unload
 * @param adapter the adapter; empty to load the base model itself
 * @param version version of the adapter to load; empty for the newest
 * @param expectedSequence number of commands that the runner must have accepted before; it refuses this one otherwise
 * @param fencingToken fencing token of the lease under which this host commands the runner
 */
public record AdapterCommand(
        EndpointId endpoint,
        NetworkAddress address,
        boolean load,
        String baseModel,
        Optional<String> adapter,
        OptionalLong version,
        long expectedSequence,
        long fencingToken) {
    /** Returns the full name of the adapter; empty if the command concerns a base model. */
    public Optional<AdapterName> adapterName() {
        return adapter.map(name -> new AdapterName(baseModel, name));
    }
}
