package org.banyanstair.forwarding;

import org.banyanstair.model.AdapterName;

/** An adapter version that a runner reports as loaded. */
public record LoadedAdapter(AdapterName name, long version) {
    @Override
    public String toString() {
        return name + "@" + version;
    }
}
