package org.banyanstair.configuration;

import java.util.List;
import java.util.Optional;

import org.banyanstair.model.PresetId;

/**
 * The content of a declarations file: the complete configuration that an operator wants.
 *
 * @param pools store shares
 * @param presets presets; built-in presets that are not declared keep their values
 * @param preset preset to put in force, empty to keep the current one
 */
public record Declarations(
        List<ServiceDeclaration> services,
        List<AdapterDeclaration> adapters,
        List<PoolDeclaration> pools,
        List<Preset> presets,
        Optional<PresetId> preset) {
    /** Copies the lists. */
    public Declarations {
        services = List.copyOf(services);
        adapters = List.copyOf(adapters);
        pools = List.copyOf(pools);
        presets = List.copyOf(presets);
    }
}
