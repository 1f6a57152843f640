package org.banyanstair.server.http.caller;

import java.util.List;
import java.util.Map;

import org.banyanstair.model.CallerId;
import org.banyanstair.server.http.BearerKey;

/**
 * Bearer keys of the callers.
 *
 * @param keys keys by caller; a caller may have several, so that keys can be rotated without downtime
 */
public record CallerKeys(Map<CallerId, List<BearerKey>> keys) {
    /** Copies the map. */
    public CallerKeys {
        keys = Map.copyOf(keys);
    }
}
