package org.banyanstair.integration.quickstart;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.codec.Mappers;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterEngine;
import org.banyanstair.integration.cluster.ClusterServiceEndpoint;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.testsupport.engine.EngineRun;
import org.banyanstair.testsupport.engine.EngineViolation;
import org.banyanstair.testsupport.history.EndpointRun;
import org.banyanstair.testsupport.service.ServiceRun;

/** Converts the runs that the endpoints of a cluster recorded to the input of the history checker. */
final class EndpointRecords {
    private static final String REFERENCE = "reference";

    private EndpointRecords() {}

    /** Returns the JSON body of an order with a reference that identifies it in the record of the endpoint. */
    static byte[] orderBody(String reference) {
        try {
            return Mappers.JSON.writeValueAsBytes(Map.of("item", "fire-blanket", "quantity", 1, REFERENCE, reference));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    static List<EndpointRun> runs(Cluster cluster) {
        List<EndpointRun> runs = new ArrayList<>();
        for (ClusterEngine engine : cluster.engines()) {
            engine.engine().record().runs().forEach(run -> runs.add(run(engine, run)));
        }
        for (ClusterServiceEndpoint serviceEndpoint : cluster.serviceEndpoints()) {
            serviceEndpoint.service().record().forEach(run -> runs.add(run(serviceEndpoint, run)));
        }
        return runs;
    }

    static List<EngineViolation> violations(Cluster cluster) {
        return cluster.engines().stream()
                .flatMap(engine -> engine.engine().record().violations().stream())
                .toList();
    }

    private static EndpointRun run(ClusterEngine engine, EngineRun run) {
        return new EndpointRun(
                engine.endpoint().id(),
                run.requestId(),
                run.promptDigest(),
                Optional.of(AdapterVersion.parse(run.adapter())),
                run.tokens(),
                "",
                run.started(),
                run.ended().orElseGet(Instant::now));
    }

    private static EndpointRun run(ClusterServiceEndpoint serviceEndpoint, ServiceRun run) {
        return new EndpointRun(
                serviceEndpoint.endpoint().id(),
                run.requestId(),
                key(run),
                Optional.empty(),
                0,
                "",
                run.started(),
                run.ended());
    }

    private static String key(ServiceRun run) {
        if (!run.path().equals("/orders")) {
            return run.path();
        }
        try {
            return Mappers.JSON
                    .readTree(run.body().getBytes(StandardCharsets.UTF_8))
                    .path(REFERENCE)
                    .asText();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
