package org.banyanstair.integration.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.integration.cluster.ClusterEngine;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.LoadPlan;
import org.banyanstair.testsupport.load.LoadReport;
import org.banyanstair.testsupport.load.OpenLoopLoad;

/**
 * Measures the latency that hosts add, by comparing streams through hosts with streams directly from the engines.
 *
 * <p>Both paths run in the same load and use the same proxies to the engines, so they differ only in the hosts.
 */
final class AddedLatencyBenchmark implements Benchmark {
    private static final int HOSTS = 6;
    private static final int ENGINES = 4;
    private static final int ADAPTERS = 8;
    private static final int TOKENS = 16;
    private static final double REQUESTS_PER_SECOND = 200;
    private static final long MAXIMUM_REQUESTS = 20_000;
    private static final long STEP_MICROSECONDS = 5_000;

    @Override
    public ObjectNode run(BenchmarkRun run) throws Exception {
        // Every engine has a slot for every adapter, so no adapter that a direct call needs is evicted.
        try (BenchmarkCluster cluster = new BenchmarkCluster(
                run,
                "added-latency",
                HOSTS,
                List.of(ENGINES),
                BenchmarkCluster.engine(ADAPTERS, 64, STEP_MICROSECONDS))) {
            cluster.cluster().start();
            cluster.apply(BenchmarkDeclarations.of(1, ADAPTERS));
            generateLoad(cluster, run.seed() + 1, run.time(10, 4), new RequestPaths(cluster, List.of(), 0));
            List<List<ClusterEngine>> loaded = enginesByAdapter(cluster);
            RequestPaths paths = new RequestPaths(cluster, loaded, 0.5);
            LoadReport report = generateLoad(cluster, run.seed(), run.time(20, 5), paths);
            return figures(paths, report);
        }
    }

    private static LoadReport generateLoad(BenchmarkCluster cluster, long seed, Duration time, RequestPaths paths)
            throws InterruptedException {
        LoadPlan plan = new LoadPlan(REQUESTS_PER_SECOND, MAXIMUM_REQUESTS, time, Duration.ofSeconds(10), seed);
        return new OpenLoopLoad(plan, (sequence, random, intended) -> paths.send(sequence, random, seed)
                        .thenApply(sent -> {
                            sent.path().add(intended, sent.result().toLoadResult());
                            return sent.result().toLoadResult();
                        }))
                .run();
    }

    /** Returns for each adapter the engines that have it loaded, at least one. */
    private static List<List<ClusterEngine>> enginesByAdapter(BenchmarkCluster cluster) throws Exception {
        MeasurementClient client = new MeasurementClient();
        List<List<ClusterEngine>> result = new ArrayList<>();
        for (int adapter = 0; adapter < ADAPTERS; adapter++) {
            List<ClusterEngine> engines = new ArrayList<>();
            for (ClusterEngine engine : cluster.cluster().engines()) {
                JsonNode loaded =
                        client.json(engine.endpoint().address(), "/v1/status").path("loaded");
                if (loaded.has(engineName(adapter))) {
                    engines.add(engine);
                }
            }
            if (engines.isEmpty()) {
                throw new IllegalStateException("adapter " + adapter + " is not loaded after the warm-up");
            }
            result.add(engines);
        }
        return result;
    }

    private static String engineName(int adapter) {
        return BenchmarkDeclarations.pool(0) + "/" + BenchmarkDeclarations.adapter(adapter) + "@v1";
    }

    private record PathResult(StreamLatency path, CallerResult result) {}

    /** The paths through hosts and directly to engines, and the random choice between them. */
    private static final class RequestPaths {
        private final BenchmarkCluster cluster;
        private final List<List<ClusterEngine>> loaded;
        private final double directShare;
        private final AtomicLong requestIds = new AtomicLong();
        private final StreamLatency throughHosts = new StreamLatency();
        private final StreamLatency direct = new StreamLatency();

        RequestPaths(BenchmarkCluster cluster, List<List<ClusterEngine>> loaded, double directShare) {
            this.cluster = cluster;
            this.loaded = loaded;
            this.directShare = directShare;
        }

        CompletableFuture<PathResult> send(long sequence, Random random, long seed) {
            int adapter = random.nextInt(ADAPTERS);
            // Prompts are unique, so that neither path benefits from prefixes that the other has cached.
            String prompt = "request " + sequence + " of load " + seed;
            if (random.nextDouble() < directShare) {
                List<ClusterEngine> engines = loaded.get(adapter);
                ClusterEngine engine = engines.get(random.nextInt(engines.size()));
                ChatCall call = new ChatCall(BenchmarkCluster.headers(), engineName(adapter), prompt, TOKENS, true);
                return cluster.caller()
                        .chatWithEngine(engine.endpoint().address(), "direct-" + requestIds.incrementAndGet(), call)
                        .thenApply(result -> new PathResult(direct, result));
            }
            List<ClusterHost> hosts = cluster.cluster().hosts();
            ClusterHost host = hosts.get(random.nextInt(hosts.size()));
            return cluster.generate(host.caller(), 0, adapter, prompt, TOKENS)
                    .thenApply(result -> new PathResult(throughHosts, result));
        }
    }

    private static ObjectNode figures(RequestPaths paths, LoadReport report) {
        ObjectNode through = paths.throughHosts.json();
        ObjectNode direct = paths.direct.json();
        ObjectNode json = Mappers.JSON.createObjectNode();
        json.put("hosts", HOSTS)
                .put("engines", ENGINES)
                .put("adapters", ADAPTERS)
                .put("tokens", TOKENS);
        json.put("requestsPerSecond", REQUESTS_PER_SECOND).put("stepMicros", STEP_MICROSECONDS);
        json.put("started", report.started()).put("unfinished", report.unfinished());
        json.set("startDelayMicros", StreamLatency.percentiles(report.startDelay()));
        json.set("throughHosts", through);
        json.set("direct", direct);
        json.set("addedFirstTokenMicros", difference(through, direct, "firstTokenMicros"));
        json.set("addedTokenGapMicros", difference(through, direct, "tokenGapMicros"));
        json.set(
                "aimFirstTokenMicros",
                Mappers.JSON
                        .createObjectNode()
                        .put("p50", TimeUnit.MILLISECONDS.toMicros(2))
                        .put("p99", TimeUnit.MILLISECONDS.toMicros(10)));
        return json;
    }

    private static ObjectNode difference(ObjectNode through, ObjectNode direct, String figure) {
        ObjectNode json = Mappers.JSON.createObjectNode();
        through.path(figure)
                .fields()
                .forEachRemaining(field -> json.put(
                        field.getKey(),
                        field.getValue().asLong()
                                - direct.path(figure).path(field.getKey()).asLong()));
        return json;
    }
}
