package org.banyanstair.testsupport.hosts;

import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.fault.Counters;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.PlatformStandInServer;
import org.banyanstair.testsupport.fault.Reply;
import org.banyanstair.testsupport.fault.Request;

/** Simulates the platform's host list. Thread-safe. */
public final class HostListStandIn {
    private final InstantSource clock = Clock.systemUTC();
    private final DelayedHostList listing = new DelayedHostList();
    private final Duration configuredLag;
    private final PlatformStandInServer server;
    private volatile Duration lag;

    /**
     * Creates a host list that is empty and not started.
     *
     * @param port TCP port on the loopback interface, 0 for a free one
     * @param lag time until readers see a change
     */
    public HostListStandIn(int port, Duration lag) {
        configuredLag = lag;
        this.lag = lag;
        server = new PlatformStandInServer(port)
                .operation("GET", "/hosts", this::read)
                .control("PUT", "/hosts/{id}", this::putHost)
                .control(
                        "DELETE",
                        "/hosts/{id}",
                        request -> removalReply(listing.removeHost(request.path("id"), clock.instant())))
                .control("PUT", "/endpoints/{id}", this::putEndpoint)
                .control(
                        "DELETE",
                        "/endpoints/{id}",
                        request -> removalReply(listing.removeEndpoint(request.path("id"), clock.instant())))
                .faultControls(HostListFaults.class, HostListFaults::shared, this::faults, this::setFaults);
        counters().declare("reads", "changes", "unchangedReads");
    }

    /** Starts listening and returns the address. */
    public NetworkAddress start() {
        return server.start();
    }

    /** Closes the listening socket and all connections. */
    public void stop() {
        server.stop();
    }

    /** Returns the server, which has the address and {@link PlatformStandInServer#awaitApplied}. */
    public PlatformStandInServer server() {
        return server;
    }

    /** Returns the operation counts: {@code reads}, {@code changes}, {@code unchangedReads}. */
    public Counters counters() {
        return server.counters();
    }

    /** Adds or replaces an entry host. */
    public void put(EntryHost host) {
        counters().add("changes", 1);
        listing.putHost(host, clock.instant());
    }

    /** Adds or replaces an endpoint. */
    public void put(Endpoint endpoint) {
        counters().add("changes", 1);
        listing.putEndpoint(endpoint, clock.instant());
    }

    /** Removes an entry host if it exists. */
    public void remove(HostId id) {
        listing.removeHost(id.toString(), clock.instant());
    }

    /** Removes an endpoint if it exists. */
    public void remove(EndpointId id) {
        listing.removeEndpoint(id.toString(), clock.instant());
    }

    /**
     * Returns the listing that readers see.
     *
     * @return the listing as it was a lag ago
     */
    public HostListing visible() {
        return listing.visible(clock.instant(), lag);
    }

    /** Returns the faults in force. */
    public HostListFaults faults() {
        Optional<Long> changed = lag.equals(configuredLag) ? Optional.empty() : Optional.of(lag.toMillis());
        return new HostListFaults(server.injector().get(), changed);
    }

    /** Replaces the faults in force. */
    public void setFaults(HostListFaults faults) {
        lag = faults.lagMillis().map(Duration::ofMillis).orElse(configuredLag);
        server.setFaults(faults.shared());
    }

    /** Replaces the shared faults and keeps the lag. */
    public void setFaults(Faults faults) {
        setFaults(new HostListFaults(faults, faults().lagMillis()));
    }

    private CompletableFuture<Reply> read(Request request) {
        counters().add("reads", 1);
        HostListing listing = visible();
        boolean known = request.query("known")
                .filter(Long.toString(listing.version())::equals)
                .isPresent();
        if (known) {
            counters().add("unchangedReads", 1);
            return CompletableFuture.completedFuture(new Reply(304, "application/json", new byte[0]));
        }
        return CompletableFuture.completedFuture(Reply.json(200, listing));
    }

    private CompletableFuture<Reply> putHost(Request request) {
        EntryHost host = request.strictJson(EntryHost.class);
        requireMatchingId(request, host.id());
        put(host);
        return emptyReply();
    }

    private CompletableFuture<Reply> putEndpoint(Request request) {
        Endpoint endpoint = request.strictJson(Endpoint.class);
        requireMatchingId(request, endpoint.id());
        put(endpoint);
        return emptyReply();
    }

    private static void requireMatchingId(Request request, Object id) {
        if (id == null || !request.path("id").equals(id.toString())) {
            throw new IllegalArgumentException("the id in the body must match the id in the path");
        }
    }

    private CompletableFuture<Reply> removalReply(boolean found) {
        counters().add("changes", found ? 1 : 0);
        return found ? emptyReply() : CompletableFuture.completedFuture(Reply.error(404, "unknown_entry"));
    }

    private static CompletableFuture<Reply> emptyReply() {
        return CompletableFuture.completedFuture(Reply.json(200, Map.of()));
    }
}
