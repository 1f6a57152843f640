package org.banyanstair.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.cli.operator.ClusterStatus;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Objective;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.errors.FailureText;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.HostStatus;

/** Operator API of a single fake host, with faults that a test can inject. */
final class FakeOperatorApi implements AutoCloseable {
    static final String KEY = "operator-key-0123456";

    /** Fault injected into the submission of a change. */
    enum Fault {
        NONE,
        /** The change is accepted, and the connection closes without a response. */
        RESPONSE_LOST,
        /** The change is accepted, but the host answers that its outcome is unknown. */
        VERDICT_DELAYED,
        /** The connection closes before the change is read, and the change is never accepted. */
        REQUEST_LOST,
        /** Another operator's change is accepted first. */
        CONFLICT,
        /** The log is unavailable. */
        LOG_UNAVAILABLE
    }

    final List<ConfigurationChange> changes = new CopyOnWriteArrayList<>();
    final List<String> drainPaths = new CopyOnWriteArrayList<>();
    final AtomicInteger submissions = new AtomicInteger();
    volatile Configuration configuration = Configuration.INITIAL;
    volatile Fault fault = Fault.NONE;
    /** How many versions the version reported by the host is behind the one in force. */
    volatile long versionLag;

    private final Map<String, ChangeVerdict> verdicts = new HashMap<>();
    private final HttpServer server;

    private record ErrorEnvelope(ErrorDetails error) {}

    private record ErrorDetails(String message, String type, String code, Failure details) {}

    private record Response(int status, Object body) {}

    FakeOperatorApi() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/operator/v1/", this::handle);
        server.start();
    }

    String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        boolean authenticated =
                ("Bearer " + KEY).equals(exchange.getRequestHeaders().getFirst("Authorization"));
        Response response = authenticated ? respond(exchange) : errorResponse(401, new Failure.Unauthenticated());
        if (response.status() > 0) {
            byte[] body = Mappers.JSON.writeValueAsBytes(response.body());
            exchange.sendResponseHeaders(response.status(), body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    private Response respond(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath().substring("/operator/v1/".length());
        if (path.equals("changes")) {
            return submit(Mappers.JSON.readValue(exchange.getRequestBody(), ConfigurationChange.class));
        } else if (path.startsWith("changes/")) {
            ChangeVerdict verdict = verdicts.get(path.substring("changes/".length()));
            return verdict == null ? new Response(404, Map.of()) : new Response(200, verdict);
        } else if (path.startsWith("hosts/")) {
            drainPaths.add(path);
            return new Response(202, Map.of());
        }
        return new Response(200, document(path));
    }

    private Object document(String path) {
        return switch (path) {
            case "configuration" -> configuration;
            case "status" -> status();
            case "endpoints" -> List.of(new EndpointReport(
                    new EndpointId("runner-1"),
                    new PoolId("assistant"),
                    Presence.LIVE,
                    new HostId("entry-1"),
                    7,
                    true,
                    4,
                    List.of("assistant/tender@v1"),
                    2,
                    8));
            default -> new BurnRateSnapshot(
                    new HostId("entry-1"),
                    Instant.EPOCH,
                    List.of(new BurnRateSample(
                            new ServiceId("assistant"), Objective.DEFAULT, 60, 100, 90, Map.of("queue_full", 10L))));
        };
    }

    private ClusterStatus status() {
        NetworkAddress address =
                new NetworkAddress("127.0.0.1", server.getAddress().getPort());
        HostId host = new HostId("entry-1");
        long version = configuration.version() - versionLag;
        return new ClusterStatus(
                List.of(new EntryHost(host, Presence.LIVE, new DataCentre("ub-east"), address, address, address)),
                List.of(new HostStatus(
                        new HostIdentity(host, 1),
                        true,
                        false,
                        version,
                        configuration.presetInForce(),
                        List.of(),
                        0,
                        true,
                        Instant.EPOCH)));
    }

    private Response submit(ConfigurationChange change) {
        submissions.incrementAndGet();
        if (fault == Fault.REQUEST_LOST) {
            return new Response(0, null);
        }
        if (fault == Fault.LOG_UNAVAILABLE) {
            return errorResponse(503, new Failure.LogUnavailable("configuration"));
        }
        if (fault == Fault.CONFLICT || change.baseVersion() != configuration.version()) {
            return errorResponse(409, new Failure.ConfigurationConflict(change.baseVersion(), 99));
        }
        try {
            configuration = configuration.apply(configuration.version() + 1, change.operations());
        } catch (FailureException exception) {
            return errorResponse(400, exception.failure());
        }
        changes.add(change);
        ChangeVerdict verdict = new ChangeVerdict.Accepted(configuration.version());
        verdicts.put(change.changeId(), verdict);
        if (fault == Fault.VERDICT_DELAYED) {
            return errorResponse(504, new Failure.ChangeOutcomeUnknown(change.changeId()));
        }
        return new Response(fault == Fault.RESPONSE_LOST ? 0 : 200, verdict);
    }

    private static Response errorResponse(int status, Failure failure) {
        ErrorDetails details = new ErrorDetails(FailureText.of(failure), "refused", failure.code(), failure);
        return new Response(status, new ErrorEnvelope(details));
    }
}
