package org.banyanstair.server.settings;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.errors.FailureException;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.Names;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.placement.PlacementPolicy;
import org.banyanstair.server.http.BearerKey;
import org.banyanstair.toml.StrictToml;
import org.banyanstair.toml.TomlField;
import org.banyanstair.toml.TomlResult;
import org.banyanstair.toml.TomlTable;
import org.banyanstair.toml.TomlType;
import org.banyanstair.toml.TomlTypes;

/** Parses {@link DaemonSettings} from a TOML file and reports all errors at once. */
public final class DaemonSettingsReader {
    /** Minimum length of a key, which protects against brute-force guessing. */
    private static final int MINIMUM_KEY_LENGTH = 16;

    /**
     * The body of a non-idempotent call is forwarded between hosts in a frame of at most 1 MiB, of which 64 KiB are
     * reserved for the other fields.
     */
    private static final int MAXIMUM_BODY_BYTES = (1 << 20) - (1 << 16);

    private static final int DEFAULT_BODY_BYTES = 1 << 19;

    /** The retention of idempotency keys is based on this longest deadline. */
    private static final int MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

    /** Checkpoints and claims are renewed three times within the retention, and an append may take one second. */
    private static final int MINIMUM_RETENTION_SECONDS = 5;

    private static final int DEFAULT_RETENTION_SECONDS = 3_600;

    private static final int MAXIMUM_RETENTION_SECONDS = 31_536_000;

    private DaemonSettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @return the settings, or all errors
     */
    public static TomlResult<DaemonSettings> read(Path file) {
        return StrictToml.read(file, TomlTypes.table(DaemonSettingsReader::settings));
    }

    private static Supplier<DaemonSettings> settings(TomlTable table) {
        TomlField<DaemonSettings.Host> host = table.required("host", host());
        TomlField<DaemonSettings.Listen> listen = table.required("listen", listen());
        TomlField<DaemonSettings.Platform> platform = table.required("platform", platform());
        TomlField<Map<String, BearerKey>> callers = table.optionalTable("callers", keys());
        TomlField<Map<String, BearerKey>> operators = table.optionalTable("operators", keys());
        TomlField<DaemonSettings.Limits> limits = table.optionalTable("limits", limits());
        TomlField<DaemonSettings.Timing> timing = table.optionalTable("timing", timing());
        TomlField<PlacementPolicy> placement = table.optionalTable("placement", placement());
        TomlField<DaemonSettings.Log> log = table.optionalTable("log", log());
        return () -> new DaemonSettings(
                host.get(),
                listen.get(),
                platform.get(),
                byCaller(callers.get()),
                operators.get(),
                limits.get(),
                timing.get(),
                placement.get(),
                log.get());
    }

    private static TomlType<DaemonSettings.Host> host() {
        return TomlTypes.table(table -> {
            TomlField<HostId> id = table.required("id", TomlTypes.name(HostId::new));
            TomlField<DataCentre> dataCentre = table.required("data-centre", TomlTypes.name(DataCentre::new));
            TomlField<String> cluster = table.required("cluster", TomlTypes.name(name -> name));
            return () -> new DaemonSettings.Host(id.get(), dataCentre.get(), cluster.get());
        });
    }

    private static TomlType<DaemonSettings.Listen> listen() {
        return TomlTypes.table(table -> {
            TomlField<NetworkAddress> caller = table.required("caller", TomlTypes.address());
            TomlField<NetworkAddress> operator = table.required("operator", TomlTypes.address());
            TomlField<NetworkAddress> peer = table.required("peer", TomlTypes.address());
            operator.ifValid(address -> rejectIfSame(table, "operator", address, caller));
            peer.ifValid(address -> rejectIfSame(table, "peer", address, caller));
            peer.ifValid(address -> rejectIfSame(table, "peer", address, operator));
            return () -> new DaemonSettings.Listen(caller.get(), operator.get(), peer.get());
        });
    }

    private static void rejectIfSame(
            TomlTable table, String key, NetworkAddress address, TomlField<NetworkAddress> other) {
        other.ifValid(otherAddress -> {
            if (address.equals(otherAddress)) {
                table.reject(key, "different from the other addresses of this table");
            }
        });
    }

    private static TomlType<DaemonSettings.Platform> platform() {
        return TomlTypes.table(table -> {
            TomlField<NetworkAddress> log = table.required("log", TomlTypes.address());
            TomlField<NetworkAddress> hostList = table.required("host-list", TomlTypes.address());
            TomlField<Integer> timeout = milliseconds(table, "call-timeout-milliseconds", 2_000, 100, 60_000);
            TomlField<Integer> retention = table.optional(
                    "log-retention-seconds",
                    TomlTypes.int32(MINIMUM_RETENTION_SECONDS, MAXIMUM_RETENTION_SECONDS),
                    DEFAULT_RETENTION_SECONDS);
            return () -> new DaemonSettings.Platform(log.get(), hostList.get(), timeout.get(), retention.get());
        });
    }

    private static TomlType<Map<String, BearerKey>> keys() {
        return TomlTypes.table(table -> {
            Map<String, BearerKey> keys = new LinkedHashMap<>();
            Set<String> values = new HashSet<>();
            table.entries(TomlTypes.string(MINIMUM_KEY_LENGTH)).forEach((name, value) -> {
                checkName(table, name);
                if (!values.add(value)) {
                    table.reject(name, "different from all other keys of this table");
                }
                keys.put(name, BearerKey.ofPlain(value));
            });
            return () -> keys;
        });
    }

    private static void checkName(TomlTable table, String name) {
        try {
            Names.check(name, name);
        } catch (FailureException exception) {
            table.reject(name, "named with " + Names.ACCEPTED_FORMAT);
        }
    }

    private static Map<CallerId, BearerKey> byCaller(Map<String, BearerKey> keys) {
        Map<CallerId, BearerKey> callers = new LinkedHashMap<>();
        keys.forEach((name, key) -> callers.put(new CallerId(name), key));
        return callers;
    }

    private static TomlType<DaemonSettings.Limits> limits() {
        return TomlTypes.table(table -> {
            TomlField<Integer> body = table.optional(
                    "maximum-body-bytes", TomlTypes.int32(1_024, MAXIMUM_BODY_BYTES), DEFAULT_BODY_BYTES);
            TomlField<Integer> defaultDeadline =
                    milliseconds(table, "default-deadline-milliseconds", 60_000, 100, MAXIMUM_DEADLINE_MILLISECONDS);
            TomlField<Integer> maximumDeadline = milliseconds(
                    table,
                    "maximum-deadline-milliseconds",
                    MAXIMUM_DEADLINE_MILLISECONDS,
                    100,
                    MAXIMUM_DEADLINE_MILLISECONDS);
            TomlField<Integer> entryAddressKeep =
                    milliseconds(table, "entry-address-keep-milliseconds", 5_000, 100, 600_000);
            TomlField<Integer> drainLimit = milliseconds(table, "drain-limit-milliseconds", 600_000, 1_000, 3_600_000);
            TomlField<Integer> tokenSilence =
                    milliseconds(table, "token-silence-limit-milliseconds", 5_000, 100, 600_000);
            defaultDeadline.ifValid(value -> maximumDeadline.ifValid(limit -> {
                if (value > limit) {
                    table.reject("default-deadline-milliseconds", "at most maximum-deadline-milliseconds");
                }
            }));
            return () -> new DaemonSettings.Limits(
                    body.get(),
                    defaultDeadline.get(),
                    maximumDeadline.get(),
                    entryAddressKeep.get(),
                    drainLimit.get(),
                    tokenSilence.get());
        });
    }

    private static TomlType<DaemonSettings.Timing> timing() {
        return TomlTypes.table(table -> {
            TomlField<Integer> heartbeat = milliseconds(table, "heartbeat-milliseconds", 1_000, 50, 60_000);
            TomlField<Integer> limit = milliseconds(table, "heartbeat-limit-milliseconds", 3_000, 100, 180_000);
            TomlField<Integer> hostList = milliseconds(table, "host-list-poll-milliseconds", 1_000, 50, 60_000);
            TomlField<Integer> status = milliseconds(table, "status-poll-milliseconds", 1_000, 50, 60_000);
            TomlField<Integer> batch = milliseconds(table, "call-batch-milliseconds", 25, 1, 1_000);
            heartbeat.ifValid(value -> limit.ifValid(allowed -> {
                if (allowed < 2 * value) {
                    // Otherwise, a single delayed heartbeat would close a working connection.
                    table.reject("heartbeat-limit-milliseconds", "at least twice heartbeat-milliseconds");
                }
            }));
            return () ->
                    new DaemonSettings.Timing(heartbeat.get(), limit.get(), hostList.get(), status.get(), batch.get());
        });
    }

    private static TomlType<PlacementPolicy> placement() {
        Map<String, PlacementPolicy> policies = new LinkedHashMap<>();
        PlacementPolicy.NAMES.forEach(name -> policies.put(name, PlacementPolicy.named(name)));
        return TomlTypes.table(table -> {
            TomlField<PlacementPolicy> policy =
                    table.optional("policy", TomlTypes.oneOf(policies), PlacementPolicy.STANDARD);
            return policy::get;
        });
    }

    private static TomlType<DaemonSettings.Log> log() {
        Map<String, DaemonSettings.Log.Level> levels = Stream.of(DaemonSettings.Log.Level.values())
                .collect(Collectors.toMap(level -> level.name().toLowerCase(Locale.ROOT), level -> level));
        return TomlTypes.table(table -> {
            TomlField<DaemonSettings.Log.Level> level =
                    table.optional("level", TomlTypes.oneOf(levels), DaemonSettings.Log.Level.INFO);
            TomlField<Optional<String>> file = table.optional("file", TomlTypes.string(1));
            return () -> new DaemonSettings.Log(level.get(), file.get().map(Path::of));
        });
    }

    private static TomlField<Integer> milliseconds(
            TomlTable table, String key, int defaultValue, int minimum, int maximum) {
        return table.optional(key, TomlTypes.int32(minimum, maximum), defaultValue);
    }
}
