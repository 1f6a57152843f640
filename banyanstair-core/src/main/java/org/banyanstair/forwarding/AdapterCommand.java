package org.banyanstair.forwarding;

import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/**
 * A command to a runner to load a base model, or to load or unload an adapter.
 *
 * @param endpoint the runner
 * @param address its address
 * @param load whether to load; otherwise to unload
 * @param baseModel the base model
 * @param adapter its adapter; empty to load the base model itself
 * @param version version of the adapter to load; empty for the newest
 * @param expectedSequence commands that the runner must have accepted before; it refuses this one otherwise
 * @param fencingToken number of the claim under which this host commands the runner
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
    /**
     * Returns the adapter.
     *
     * @return the adapter; empty if the command concerns a base model
     */
    public Optional<AdapterName> adapterName() {
        return adapter.map(name -> new AdapterName(baseModel, name));
    }
}
