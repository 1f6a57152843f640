package org.banyanstair.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Computes the operations that change a configuration to match a declarations file. */
public final class ConfigurationDifference {
    private final Configuration from;
    private final Declarations to;
    private final List<Operation> operations = new ArrayList<>();

    private ConfigurationDifference(Configuration from, Declarations to) {
        this.from = from;
        this.to = to;
    }

    /**
     * Computes the operations.
     *
     * @return operations in an order in which each can be applied; empty if there is no difference
     */
    public static List<Operation> between(Configuration from, Declarations to) {
        ConfigurationDifference difference = new ConfigurationDifference(from, to);
        difference.compute();
        return List.copyOf(difference.operations);
    }

    private void compute() {
        put(from.presets(), to.presets(), Preset::id, Operation.PutPreset::new);
        to.preset()
                .filter(preset -> !preset.equals(from.presetInForce()))
                .ifPresent(preset -> operations.add(new Operation.UsePreset(preset)));
        put(from.pools(), to.pools(), PoolDeclaration::id, Operation.PutPool::new);
        put(from.services(), to.services(), ServiceDeclaration::id, Operation.PutService::new);
        put(from.adapters(), to.adapters(), AdapterDeclaration::key, Operation.PutAdapter::new);
        remove(from.adapters(), to.adapters(), AdapterDeclaration::key, Operation.RemoveAdapter::new);
        remove(from.services(), to.services(), ServiceDeclaration::id, Operation.RemoveService::new);
        remove(from.pools(), to.pools(), PoolDeclaration::id, Operation.RemovePool::new);
    }

    private <K, V> void put(Map<K, V> present, List<V> wanted, Function<V, K> key, Function<V, Operation> operation) {
        wanted.stream()
                .filter(value -> !value.equals(present.get(key.apply(value))))
                .forEach(value -> operations.add(operation.apply(value)));
    }

    private <K, V> void remove(
            Map<K, V> present, List<V> wanted, Function<V, K> key, Function<K, Operation> operation) {
        Set<K> kept = new HashSet<>();
        wanted.forEach(value -> kept.add(key.apply(value)));
        present.keySet().stream()
                .filter(name -> !kept.contains(name))
                .forEach(name -> operations.add(operation.apply(name)));
    }
}
