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

    @Override
    public String toString() {
        return baseModel + "/" + adapter;
    }
}
