package org.banyanstair.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.banyanstair.model.AdapterId;
import org.banyanstair.model.ModelName;
import org.banyanstair.model.ServiceId;

/** An adapter within its service. */
public record AdapterKey(ServiceId service, AdapterId adapter) implements Comparable<AdapterKey> {
    /**
     * Parses an adapter key.
     *
     * @param text {@code service/adapter}
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static AdapterKey parse(String text) {
        ModelName name = ModelName.parse(text);
        return new AdapterKey(name.service(), name.adapter());
    }

    @Override
    public int compareTo(AdapterKey other) {
        return toString().compareTo(other.toString());
    }

    @JsonValue
    @Override
    public String toString() {
        return service + "/" + adapter;
    }
}
