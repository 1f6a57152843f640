package org.banyanstair.server.http.operator;

import java.util.List;
import java.util.Map;

import org.banyanstair.server.http.BearerKey;

/**
 * Bearer keys of the operators.
 *
 * @param keys keys by operator name, which becomes the author of changes
 */
public record OperatorKeys(Map<String, List<BearerKey>> keys) {
    /** Copies the map. */
    public OperatorKeys {
        keys = Map.copyOf(keys);
    }
}
