package org.banyanstair.server.http.operator;

import java.util.List;
import java.util.Map;

import org.banyanstair.server.http.BearerKey;

/**
 * The bearer keys of the operators.
 *
 * @param keys keys by name of the operator, which becomes the author of changes
 */
public record OperatorKeys(Map<String, List<BearerKey>> keys) {
    /** Copies the map. */
    public OperatorKeys {
        keys = Map.copyOf(keys);
    }
}
