package org.banyanstair.cli.declarations;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.Route;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.toml.TomlField;
import org.banyanstair.toml.TomlTable;
import org.banyanstair.toml.TomlType;
import org.banyanstair.toml.TomlTypes;

/** Reads the keys of one {@code [[service]]} table. */
final class ServiceFields implements Supplier<ServiceDeclaration> {
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;
    private static final int DEFAULT_CALLER_LIMIT = 200;

    private static final TomlType<ServiceKind> KIND =
            TomlTypes.oneOf(Map.of("generation", ServiceKind.GENERATION, "plain", ServiceKind.PLAIN));

    private static final TomlType<String> METHOD = TomlTypes.oneOf(
            Map.of("GET", "GET", "HEAD", "HEAD", "POST", "POST", "PUT", "PUT", "PATCH", "PATCH", "DELETE", "DELETE"));

    private final TomlField<ServiceId> id;
    private final TomlField<ServiceKind> kind;
    private final TomlField<PoolId> pool;
    private final TomlField<List<CallerId>> callers;
    private final TomlField<List<Route>> routes;
    private final TomlField<Objective> objective;
    private final TomlField<Integer> queueLimit;
    private final TomlField<Integer> callerLimit;

    ServiceFields(TomlTable table) {
        id = table.required("id", TomlTypes.name(ServiceId::new));
        kind = table.required("kind", KIND);
        pool = table.required("pool", TomlTypes.name(PoolId::new));
        callers = table.required("callers", TomlTypes.list(TomlTypes.name(CallerId::new), 0));
        routes = table.optional("route", TomlTypes.list(TomlTypes.table(ServiceFields::readRoute), 0), List.of());
        objective = table.optional("objective", TomlTypes.table(ServiceFields::readObjective), Objective.DEFAULT);
        queueLimit = table.optional("queue-limit", TomlTypes.int32(1, 100_000), DEFAULT_QUEUE_LIMIT);
        callerLimit = table.optional("caller-limit", TomlTypes.int32(1, 100_000), DEFAULT_CALLER_LIMIT);
        callers.ifValid(list -> checkCallers(table, list));
        routes.ifValid(list -> checkRoutes(table, list));
    }

    TomlField<ServiceId> id() {
        return id;
    }

    TomlField<ServiceKind> kind() {
        return kind;
    }

    @Override
    public ServiceDeclaration get() {
        return new ServiceDeclaration(
                id.get(),
                kind.get(),
                pool.get(),
                Set.copyOf(callers.get()),
                routes.get(),
                objective.get(),
                queueLimit.get(),
                callerLimit.get());
    }

    private static void checkCallers(TomlTable table, List<CallerId> callers) {
        if (new HashSet<>(callers).size() < callers.size()) {
            table.reject("callers", "a list without duplicates");
        }
    }

    private void checkRoutes(TomlTable table, List<Route> routeList) {
        long distinct = routeList.stream()
                .map(route -> route.method() + " " + route.pathPrefix())
                .distinct()
                .count();
        if (distinct < routeList.size()) {
            table.reject("route", "a list of routes that differ in method or path-prefix");
        }
        kind.ifValid(value -> {
            if (value == ServiceKind.GENERATION && !routeList.isEmpty()) {
                table.reject("route", "missing for a service of kind generation");
            }
        });
    }

    private static Supplier<Route> readRoute(TomlTable table) {
        TomlField<String> method = table.required("method", METHOD);
        TomlField<String> prefix = table.required("path-prefix", TomlTypes.string(1));
        TomlField<Boolean> repeatable = table.required("repeatable", TomlTypes.bool());
        prefix.ifValid(path -> {
            if (!path.startsWith("/")) {
                table.reject("path-prefix", "a path that starts with '/'");
            }
        });
        return () -> new Route(method.get(), prefix.get(), repeatable.get());
    }

    private static Supplier<Objective> readObjective(TomlTable table) {
        TomlField<Integer> latency = table.required("latency-milliseconds", TomlTypes.int32(1, 600_000));
        TomlField<Double> share = table.required("share", TomlTypes.decimal(0.001, 0.99999));
        return () -> new Objective(latency.get(), share.get());
    }
}
