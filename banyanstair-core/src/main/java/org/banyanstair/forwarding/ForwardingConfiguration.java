package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstair.teams.TeamTable;

/** One version of the routes and services; immutable. */
public final class ForwardingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final Map<String, Duration> objectives;
    private final Set<String> resumableServices;
    private final RequestLimits limits;
    private final TeamTable teams;

    /**
     * Creates a configuration.
     *
     * @param limits limits for the requests of callers
     * @param teams who may send requests; {@link TeamTable#NONE} if requests need no key
     */
    public ForwardingConfiguration(
            long version, List<Route> routes, List<ServiceDefinition> services, RequestLimits limits, TeamTable teams) {
        this.version = version;
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Route::host));
        this.services = services.stream().collect(Collectors.toMap(ServiceDefinition::name, service -> service));
        this.objectives = routes.stream()
                .flatMap(
                        route -> route.targets().stream().map(target -> Map.entry(target.service(), route.objective())))
                .collect(Collectors.toMap(
                        Map.Entry::getKey,
                        Map.Entry::getValue,
                        (left, right) -> left.compareTo(right) < 0 ? left : right));
        this.resumableServices = routes.stream()
                .filter(route -> route.streaming() && route.resumable())
                .flatMap(route -> route.targets().stream().map(RouteTarget::service))
                .collect(Collectors.toUnmodifiableSet());
        this.limits = limits;
        this.teams = teams;
    }

    /** Returns the version, which grows with each change. */
    public long version() {
        return version;
    }

    /** Returns the shortest objective of the routes to each service that has any. */
    public Map<String, Duration> objectives() {
        return objectives;
    }

    /** Returns the services whose streams may be resumed. */
    public Set<String> resumableServices() {
        return resumableServices;
    }

    /** Returns the limits for the requests of callers. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns who may send requests; empty if requests need no key. */
    public TeamTable teams() {
        return teams;
    }

    /**
     * Returns the route with the longest matching path prefix; empty if none matches.
     *
     * @param host host name of the request, without a port
     * @param path path of the request, without the query
     */
    public Optional<Route> findRoute(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the definition of a service; empty if the configuration does not contain it. */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
