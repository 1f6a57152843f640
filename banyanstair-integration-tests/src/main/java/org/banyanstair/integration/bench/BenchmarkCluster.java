package org.banyanstair.integration.bench;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;

/** A cluster with pools {@code assistant-0}, {@code assistant-1} and so on, and an HTTP client for its callers. */
final class BenchmarkCluster implements AutoCloseable {
    private static final int MAXIMUM_CONCURRENT_CALLS = 4_096;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAXIMUM_APPLY_ATTEMPTS = 40;
    private static final long APPLY_RETRY_MILLISECONDS = 250;

    private final Cluster cluster;
    private final HttpCaller caller = new HttpCaller(MAXIMUM_CONCURRENT_CALLS, CALL_TIMEOUT, Clock.systemUTC());

    /** Creates a cluster that is not started. */
    BenchmarkCluster(BenchmarkRun run, String name, int hosts, List<Integer> enginesOfPools, EngineSettings engine) {
        List<ClusterPlan.PoolPlan> pools = new ArrayList<>();
        for (int pool = 0; pool < enginesOfPools.size(); pool++) {
            List<EngineSettings> engines = Collections.nCopies(enginesOfPools.get(pool), engine);
            pools.add(new ClusterPlan.PoolPlan(BenchmarkDeclarations.pool(pool), engines));
        }
        ClusterPlan plan = new ClusterPlan(hosts, pools, 0, Duration.ofHours(1), Duration.ofMillis(200), List.of());
        cluster = new Cluster(plan, run.work().resolve(name));
    }

    /** Returns the settings of an engine whose step time does not depend on the batch size. */
    static EngineSettings engine(int slots, int batchLimit, long stepMicroseconds) {
        return new EngineSettings(0, slots, batchLimit, stepMicroseconds, 0, 250, "", true, 5, 0, 500, 10, 64, 500, "");
    }

    Cluster cluster() {
        return cluster;
    }

    HttpCaller caller() {
        return caller;
    }

    /** Applies declarations, with retries because the first change may be refused until all pools have an owner. */
    void apply(String declarations) throws InterruptedException {
        ToolResult result = cluster.apply(declarations);
        for (int attempt = 1; result.code() != 0 && attempt < MAXIMUM_APPLY_ATTEMPTS; attempt++) {
            Thread.sleep(APPLY_RETRY_MILLISECONDS);
            result = cluster.apply(declarations);
        }
        if (result.code() != 0) {
            throw new IllegalStateException("apply ended with code " + result.code() + ": " + result.errors());
        }
    }

    /** Sends a streamed chat through an entry host. */
    CompletableFuture<CallerResult> generate(NetworkAddress entry, int pool, int adapter, String prompt, int tokens) {
        String model = BenchmarkDeclarations.pool(pool) + "/" + BenchmarkDeclarations.adapter(adapter);
        return caller.chat(entry, new ChatCall(headers(), model, prompt, tokens, true));
    }

    static CallerHeaders headers() {
        return new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(Instant.now().plus(CALL_TIMEOUT)),
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public void close() {
        caller.close();
        cluster.close();
    }
}
