package org.banyanstair.cli.declarations;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;

import org.banyanstair.configuration.AdapterDeclaration;
import org.banyanstair.configuration.AdapterKey;
import org.banyanstair.configuration.Declarations;
import org.banyanstair.configuration.PoolDeclaration;
import org.banyanstair.configuration.Preset;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.model.AdapterId;
import org.banyanstair.model.Names;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.toml.StrictToml;
import org.banyanstair.toml.TomlField;
import org.banyanstair.toml.TomlResult;
import org.banyanstair.toml.TomlTable;
import org.banyanstair.toml.TomlType;
import org.banyanstair.toml.TomlTypes;

/** Reads a declarations file and reports all errors at once, including duplicates and dangling references. */
public final class DeclarationsReader {
    private final Map<String, Optional<ServiceKind>> services = new HashMap<>();
    private final Set<String> adapters = new HashSet<>();
    private final Set<String> pools = new HashSet<>();
    private final Set<String> declaredPresets = new HashSet<>();
    private final List<Runnable> referenceChecks = new ArrayList<>();

    private DeclarationsReader() {}

    /** Reads a declarations file; returns the declarations or all errors. */
    public static TomlResult<Declarations> read(Path file) {
        return StrictToml.read(file, TomlTypes.table(new DeclarationsReader()::readDeclarations));
    }

    private Supplier<Declarations> readDeclarations(TomlTable table) {
        TomlField<Optional<PresetId>> preset = table.optional("preset", TomlTypes.name(PresetId::new));
        TomlField<List<ServiceDeclaration>> serviceList = optionalTables(table, "service", this::readService);
        TomlField<List<AdapterDeclaration>> adapterList = optionalTables(table, "adapter", this::readAdapter);
        TomlField<List<PoolDeclaration>> poolList = optionalTables(table, "pool", this::readPool);
        TomlField<List<Preset>> presets = optionalTables(table, "preset-settings", this::readPreset);
        referenceChecks.forEach(Runnable::run);
        preset.ifValid(present -> present.ifPresent(id -> checkPreset(table, id)));
        return () ->
                new Declarations(serviceList.get(), adapterList.get(), poolList.get(), presets.get(), preset.get());
    }

    private static <T> TomlField<List<T>> optionalTables(
            TomlTable table, String key, Function<TomlTable, Supplier<T>> reader) {
        return table.optional(key, TomlTypes.list(TomlTypes.table(reader), 0), List.of());
    }

    private void checkPreset(TomlTable table, PresetId id) {
        Set<String> presetNames = new TreeSet<>(declaredPresets);
        Preset.BUILT_IN.forEach(builtIn -> presetNames.add(builtIn.id().value()));
        if (!presetNames.contains(id.value())) {
            table.reject("preset", "a declared preset, one of " + String.join(", ", presetNames));
        }
    }

    private Supplier<ServiceDeclaration> readService(TomlTable table) {
        ServiceFields fields = new ServiceFields(table);
        fields.id().ifValid(id -> {
            rejectIf(services.containsKey(id.value()), table, "id", "unique among services");
            services.putIfAbsent(id.value(), Optional.empty());
            fields.kind().ifValid(kind -> services.put(id.value(), Optional.of(kind)));
        });
        return fields;
    }

    private Supplier<AdapterDeclaration> readAdapter(TomlTable table) {
        TomlField<ServiceId> service = table.required("service", TomlTypes.name(ServiceId::new));
        TomlField<AdapterId> id = table.required("id", TomlTypes.name(AdapterId::new));
        TomlType<String> version = TomlTypes.name(name -> name);
        TomlField<List<String>> versions = table.required("versions", TomlTypes.list(version, 1));
        TomlField<Optional<String>> defaultVersion = table.optional("default", version);
        service.ifValid(name -> id.ifValid(adapter -> rejectIf(
                !adapters.add(name + "/" + adapter), table, "id", "unique among the adapters of service " + name)));
        service.ifValid(name -> referenceChecks.add(() -> checkService(table, name.value())));
        versions.ifValid(list -> defaultVersion.ifValid(defaultName -> checkVersions(table, list, defaultName)));
        return () -> new AdapterDeclaration(
                new AdapterKey(service.get(), id.get()),
                versions.get(),
                defaultVersion.get().orElse(versions.get().get(0)));
    }

    private void checkService(TomlTable table, String service) {
        boolean plain = services.getOrDefault(service, Optional.empty()).equals(Optional.of(ServiceKind.PLAIN));
        rejectIf(!services.containsKey(service), table, "service", "a service of this file");
        rejectIf(plain, table, "service", "a service of kind generation");
    }

    private static void checkVersions(TomlTable table, List<String> versions, Optional<String> defaultVersion) {
        rejectIf(new HashSet<>(versions).size() < versions.size(), table, "versions", "a list without duplicates");
        if (defaultVersion.isPresent()) {
            rejectIf(!versions.contains(defaultVersion.get()), table, "default", "one of the versions");
        } else {
            rejectIf(versions.size() > 1, table, "default", "present if there are several versions");
        }
    }

    private Supplier<PoolDeclaration> readPool(TomlTable table) {
        TomlField<PoolId> id = table.required("id", TomlTypes.name(PoolId::new));
        TomlField<Double> loadsPerSecond = table.optional(
                "loads-per-second", TomlTypes.decimal(0.001, 1_000), PoolDeclaration.DEFAULT_LOADS_PER_SECOND);
        TomlField<Integer> loadsInTransit =
                table.optional("loads-in-transit", TomlTypes.int32(1, 1_000), PoolDeclaration.DEFAULT_LOADS_IN_TRANSIT);
        id.ifValid(pool -> rejectIf(!pools.add(pool.value()), table, "id", "unique among pools"));
        return () -> new PoolDeclaration(id.get(), loadsPerSecond.get(), loadsInTransit.get());
    }

    private Supplier<Preset> readPreset(TomlTable table) {
        TomlField<String> id =
                table.required("id", TomlTypes.parsed(Names.ACCEPTED_FORMAT, text -> Names.check("id", text)));
        TomlField<Double> fullness = table.required("fullness", TomlTypes.decimal(0, 1));
        TomlField<Integer> ageing = table.required("standard-ageing-milliseconds", TomlTypes.int32(0, 600_000));
        TomlField<Integer> copy = table.required("copy-after-milliseconds", TomlTypes.int32(0, 600_000));
        TomlField<Double> retries = table.required("retry-share", TomlTypes.decimal(0, 1));
        TomlField<Boolean> admits = table.required("admits-requests", TomlTypes.bool());
        id.ifValid(name -> rejectIf(!declaredPresets.add(name), table, "id", "unique among preset-settings"));
        return () -> new Preset(
                new PresetId(id.get()), fullness.get(), ageing.get(), copy.get(), retries.get(), admits.get());
    }

    private static void rejectIf(boolean condition, TomlTable table, String key, String accepted) {
        if (condition) {
            table.reject(key, accepted);
        }
    }
}
