package org.banyanstair.forwarding;

import org.banyanstair.model.AdapterName;

/**
 * An adapter version that a runner says it holds.
 *
 * @param name the adapter
 * @param version its version
 */
public record LoadedAdapter(AdapterName name, long version) {
    @Override
    public String toString() {
        return name + "@" + version;
    }
}
