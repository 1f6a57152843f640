package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.ModelName;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;
import org.banyanstair.model.ServiceId;

/**
 * One version of everything that operators have declared. Immutable.
 *
 * @param version offset of the change that created this version, -1 before the first change
 * @param presetInForce id of the one preset in force; always among the presets
 */
public record Configuration(
        long version,
        Map<ServiceId, ServiceDeclaration> services,
        Map<AdapterKey, AdapterDeclaration> adapters,
        Map<PoolId, PoolDeclaration> pools,
        Map<PresetId, Preset> presets,
        PresetId presetInForce) {
    /** Version before the first change. */
    public static final long INITIAL_VERSION = -1;

    /** The configuration before the first change: the built-in presets with {@code ordinary} in force. */
    public static final Configuration INITIAL = initial();

    /** Makes the maps unmodifiable. */
    public Configuration {
        services = Collections.unmodifiableMap(services);
        adapters = Collections.unmodifiableMap(adapters);
        pools = Collections.unmodifiableMap(pools);
        presets = Collections.unmodifiableMap(presets);
    }

    private static Configuration initial() {
        Map<PresetId, Preset> presets = new TreeMap<>();
        Preset.BUILT_IN.forEach(preset -> presets.put(preset.id(), preset));
        return new Configuration(INITIAL_VERSION, Map.of(), Map.of(), Map.of(), presets, Preset.ORDINARY.id());
    }

    /** Returns the preset in force. */
    public Preset preset() {
        return presets.get(presetInForce);
    }

    /**
     * Finds a service.
     *
     * @return its declaration, empty if there is none
     */
    public Optional<ServiceDeclaration> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Returns the share of the weight store that a pool may use.
     *
     * @return its declaration, or the default one
     */
    public PoolDeclaration pool(PoolId id) {
        return Optional.ofNullable(pools.get(id)).orElseGet(() -> PoolDeclaration.defaultFor(id));
    }

    /**
     * Resolves a model name to an adapter version.
     *
     * @return the version, the default one if the name has none; empty if it is not registered
     */
    public Optional<AdapterVersion> resolve(ModelName name) {
        return Optional.ofNullable(adapters.get(new AdapterKey(name.service(), name.adapter())))
                .map(adapter -> new Resolution(adapter, name.version().orElse(adapter.defaultVersion())))
                .filter(resolution -> resolution.adapter().versions().contains(resolution.version()))
                .map(resolution -> new AdapterVersion(name.service(), name.adapter(), resolution.version()));
    }

    private record Resolution(AdapterDeclaration adapter, String version) {}

    /**
     * Applies all operations of a change, or none.
     *
     * @throws FailureException with {@link Failure.InvalidChange} if an operation cannot be applied
     */
    public Configuration apply(long newVersion, List<Operation> operations) {
        Draft draft = new Draft(this);
        operations.forEach(draft::apply);
        return draft.finish(newVersion);
    }

    /** Lists operations that build this configuration from {@link #INITIAL} when they are applied in order. */
    public List<Operation> operations() {
        List<Operation> operations = new ArrayList<>();
        presets.values().forEach(preset -> operations.add(new Operation.PutPreset(preset)));
        operations.add(new Operation.UsePreset(presetInForce));
        INITIAL.presets.keySet().stream()
                .filter(id -> !presets.containsKey(id))
                .forEach(id -> operations.add(new Operation.RemovePreset(id)));
        pools.values().forEach(pool -> operations.add(new Operation.PutPool(pool)));
        services.values().forEach(service -> operations.add(new Operation.PutService(service)));
        adapters.values().forEach(adapter -> operations.add(new Operation.PutAdapter(adapter)));
        return operations;
    }

    /** Mutable copy to which one change is applied. The large map of adapters is copied only when it changes. */
    private static final class Draft {
        private Map<ServiceId, ServiceDeclaration> services;
        private Map<AdapterKey, AdapterDeclaration> adapters;
        private Map<PoolId, PoolDeclaration> pools;
        private Map<PresetId, Preset> presets;
        private PresetId presetInForce;
        private boolean adaptersCopied;

        Draft(Configuration base) {
            services = new TreeMap<>(base.services);
            adapters = base.adapters;
            pools = new TreeMap<>(base.pools);
            presets = new TreeMap<>(base.presets);
            presetInForce = base.presetInForce;
        }

        void apply(Operation operation) {
            if (operation instanceof Operation.PutService put) {
                services.put(put.service().id(), put.service());
            } else if (operation instanceof Operation.RemoveService remove) {
                removeService(remove.id());
            } else if (operation instanceof Operation.PutAdapter put) {
                putAdapter(put.adapter());
            } else if (operation instanceof Operation.RemoveAdapter remove) {
                require(writableAdapters().remove(remove.key()) != null, "adapter.id", "a registered adapter");
            } else if (operation instanceof Operation.PutPool put) {
                pools.put(put.pool().id(), put.pool());
            } else if (operation instanceof Operation.RemovePool remove) {
                require(pools.remove(remove.id()) != null, "pool.id", "a declared pool");
            } else if (operation instanceof Operation.PutPreset put) {
                presets.put(put.preset().id(), put.preset());
            } else if (operation instanceof Operation.RemovePreset remove) {
                require(!remove.id().equals(presetInForce), "preset.id", "a preset that is not in force");
                require(presets.remove(remove.id()) != null, "preset.id", "a declared preset");
            } else if (operation instanceof Operation.UsePreset use) {
                require(presets.containsKey(use.id()), "preset", "one of " + presets.keySet());
                presetInForce = use.id();
            }
        }

        private void removeService(ServiceId id) {
            require(services.remove(id) != null, "service.id", "a declared service");
            boolean empty =
                    adapters.keySet().stream().noneMatch(key -> key.service().equals(id));
            require(empty, "service.id", "a service without adapters");
        }

        private void putAdapter(AdapterDeclaration adapter) {
            ServiceDeclaration service = services.get(adapter.key().service());
            require(service != null, "adapter.service", "a declared service");
            require(service.kind() == ServiceKind.GENERATION, "adapter.service", "a service of kind generation");
            writableAdapters().put(adapter.key(), adapter);
        }

        private Map<AdapterKey, AdapterDeclaration> writableAdapters() {
            if (!adaptersCopied) {
                adapters = new HashMap<>(adapters);
                adaptersCopied = true;
            }
            return adapters;
        }

        private static void require(boolean condition, String field, String accepted) {
            if (!condition) {
                throw new FailureException(new Failure.InvalidChange(field, accepted));
            }
        }

        Configuration finish(long version) {
            return new Configuration(version, services, adapters, pools, presets, presetInForce);
        }
    }
}
