package org.banyanstair.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonFormat;

/** Names a LoRA adapter of a base model, without its version. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterName(String baseModel, String adapter) {
    /** Checks that both parts are present. */
    public AdapterName {
        Objects.requireNonNull(baseModel, "baseModel");
        Objects.requireNonNull(adapter, "adapter");
    }

    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof AdapterName same && adapter.equals(same.adapter) && baseModel.equals(same.baseModel);
    }

    @Override
    public int hashCode() {
        return baseModel.hashCode() * 31 + adapter.hashCode();
    }

    @Override
    public String toString() {
        return baseModel + "/" + adapter;
    }
}
