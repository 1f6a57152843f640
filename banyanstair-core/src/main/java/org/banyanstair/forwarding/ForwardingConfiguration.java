package org.banyanstair.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** One version of the routes and services; immutable. */
public final class ForwardingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceDefinition> services;
    private final RequestLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version its version
     * @param routes the routes
     * @param services the services
     * @param limits limits for requests
     */
    public ForwardingConfiguration(
            long version, List<Route> routes, List<ServiceDefinition> services, RequestLimits limits) {
        this.version = version;
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Route::host));
        this.services = services.stream().collect(Collectors.toMap(ServiceDefinition::name, service -> service));
        this.limits = limits;
    }

    /**
     * Returns the version.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for requests.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host host name of the request, without a port
     * @param path path of the request, without the query
     * @return the route, empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, empty if the configuration does not define it
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
