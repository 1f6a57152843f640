package org.banyanstair.integration.policies;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.HdrHistogram.Histogram;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterEngine;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.banyanstair.testsupport.load.LoadOutcome;
import org.banyanstair.testsupport.load.LoadPlan;
import org.banyanstair.testsupport.load.LoadResult;
import org.banyanstair.testsupport.load.OpenLoopLoad;
import org.banyanstair.testsupport.load.ZipfPopularity;
import org.banyanstair.testsupport.weights.WeightStoreSettings;
import org.banyanstair.testsupport.weights.WeightStoreStandIn;

/** Measures one placement policy under the load of one customer. */
final class PolicyRun {
    private static final int HOSTS = 3;

    private static final int SLOTS = 8;

    private static final int BATCH_LIMIT = 16;

    private static final long STEP_MICROSECONDS = 20_000;

    private static final Duration POPULARITY_SHIFT_INTERVAL = Duration.ofSeconds(15);

    private static final int POPULARITY_SHIFT_RANKS = 40;

    private static final Pattern LOAD_STALL = Pattern.compile("status=200 .*load-stall=(\\d+)");

    private final Customer customer;
    private final String policy;
    private final long seed;
    private final Duration duration;
    private final List<Integer> trace = Collections.synchronizedList(new ArrayList<>());
    private final Histogram firstTokens = new Histogram(3);
    private final Histogram premiumFirstTokens = new Histogram(3);
    private final Histogram tokenGaps = new Histogram(3);
    private long answered;
    private long missed;
    private long refused;

    PolicyRun(Customer customer, String policy, long seed, Duration duration) {
        this.customer = customer;
        this.policy = policy;
        this.seed = seed;
        this.duration = duration;
    }

    PolicyFigures run(Path directory) throws InterruptedException {
        WeightStoreStandIn store =
                new WeightStoreStandIn(0, WeightStoreSettings.DEFAULT.withLoadsPerSecond(customer.loadsPerSecond()));
        NetworkAddress storeAddress = store.start();
        try (Cluster cluster = new Cluster(plan(storeAddress), directory);
                HttpCaller caller = new HttpCaller(4_000, Duration.ofSeconds(30), Clock.systemUTC())) {
            cluster.start();
            ToolResult applied = cluster.apply(declarations());
            if (applied.code() != 0) {
                throw new IllegalStateException(applied.errors());
            }
            generateLoad(cluster, caller);
            return figures(cluster);
        } finally {
            store.stop();
        }
    }

    /** Returns the numbers of the requested adapters, in the order of the requests. */
    List<Integer> trace() {
        return List.copyOf(trace);
    }

    int slots() {
        return customer.engines() * SLOTS;
    }

    private ClusterPlan plan(NetworkAddress store) {
        EngineSettings defaults = EngineSettings.DEFAULT;
        EngineSettings engine = new EngineSettings(
                0,
                SLOTS,
                BATCH_LIMIT,
                STEP_MICROSECONDS,
                STEP_MICROSECONDS / 100,
                0,
                store.toString(),
                true,
                defaults.keepBrokenStreamsSeconds(),
                defaults.statusLagMilliseconds(),
                defaults.cacheEventLagMilliseconds(),
                defaults.cacheEventGapEvery(),
                defaults.cachedPrefixes(),
                defaults.restartMilliseconds(),
                "");
        ClusterPlan.PoolPlan pool =
                new ClusterPlan.PoolPlan("assistant", Collections.nCopies(customer.engines(), engine));
        return new ClusterPlan(
                HOSTS,
                List.of(pool),
                0,
                Duration.ofHours(1),
                Duration.ofMillis(200),
                List.of("[placement]", "policy = \"" + policy + "\""));
    }

    private String declarations() {
        return "preset = \"" + customer.preset() + "\"\n"
                + Cluster.declarations(customer.adapters())
                        .replace(
                                "loads-per-second = 20\nloads-in-transit = 8",
                                "loads-per-second = " + customer.loadsPerSecond() + "\nloads-in-transit = 8");
    }

    private void generateLoad(Cluster cluster, HttpCaller caller) throws InterruptedException {
        Instant begin = Instant.now();
        List<Instant> shifts = new ArrayList<>();
        for (Instant at = begin.plus(POPULARITY_SHIFT_INTERVAL);
                at.isBefore(begin.plus(duration));
                at = at.plus(POPULARITY_SHIFT_INTERVAL)) {
            shifts.add(at);
        }
        ZipfPopularity popularity =
                new ZipfPopularity(customer.adapters(), customer.zipfExponent(), seed, shifts, POPULARITY_SHIFT_RANKS);
        LoadPlan plan = new LoadPlan(
                customer.requestsPerSecond(),
                (long) (customer.requestsPerSecond() * duration.toSeconds() * 2),
                duration,
                Duration.ofSeconds(20),
                seed);
        List<ClusterHost> hosts = cluster.hosts();
        new OpenLoopLoad(plan, (sequence, random, intended) -> {
                    NetworkAddress host = hosts.get((int) (sequence % HOSTS)).caller();
                    return request(caller, host, popularity, random, intended);
                })
                .run();
    }

    private CompletableFuture<LoadResult> request(
            HttpCaller caller, NetworkAddress host, ZipfPopularity popularity, Random random, Instant intended) {
        boolean urgent = random.nextDouble() < customer.urgentShare();
        boolean premium = random.nextDouble() < customer.premiumShare();
        int adapter = urgent ? random.nextInt(customer.adapters()) : popularity.choose(random, intended);
        trace.add(adapter);
        Instant deadline =
                intended.plus(urgent ? Customer.URGENT_TIME_TO_DEADLINE : Customer.ORDINARY_TIME_TO_DEADLINE);
        CallerHeaders headers = new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(deadline),
                Optional.of(premium ? PriorityClass.PREMIUM : PriorityClass.STANDARD),
                Optional.empty());
        String prompt = "request " + random.nextInt(1_000_000);
        ChatCall call = new ChatCall(headers, "assistant/adapter-" + adapter, prompt, customer.tokens(), true);
        return caller.chat(host, call).thenApply(result -> record(result, intended, deadline, premium));
    }

    private synchronized LoadResult record(CallerResult result, Instant intended, Instant deadline, boolean premium) {
        if (result instanceof CallerResult.Generated generated) {
            if (Instant.now().isAfter(deadline)) {
                missed++;
            } else {
                answered++;
            }
            generated.firstToken().ifPresent(ignored -> {
                long latency = Duration.between(intended, generated.tokenTimes().get(0))
                        .toMillis();
                firstTokens.recordValue(Math.max(0, latency));
                if (premium) {
                    premiumFirstTokens.recordValue(Math.max(0, latency));
                }
            });
            generated.tokenGaps().forEach(gap -> tokenGaps.recordValue(gap.toMillis()));
            return new LoadResult(LoadOutcome.ANSWERED, "ok", List.of());
        }
        boolean early = Duration.between(Instant.now(), deadline).toMillis() > 200;
        if (early && result instanceof CallerResult.NotRun) {
            refused++;
        } else {
            missed++;
        }
        return new LoadResult(LoadOutcome.NOT_RUN, result.getClass().getSimpleName(), List.of());
    }

    private PolicyFigures figures(Cluster cluster) {
        Histogram stalls = readLoadStalls(cluster);
        long tokens = 0;
        long steps = 0;
        long loads = 0;
        for (ClusterEngine engine : cluster.engines()) {
            tokens += engine.engine().counters().tokens();
            steps += engine.engine().counters().steps();
            loads += engine.engine().counters().loads();
        }
        return new PolicyFigures(
                policy,
                trace.size(),
                answered,
                missed,
                refused,
                Math.round(stalls.getMean() * 10) / 10.0,
                stalls.getValueAtPercentile(99),
                firstTokens.getValueAtPercentile(50),
                firstTokens.getValueAtPercentile(95),
                premiumFirstTokens.getValueAtPercentile(95),
                tokenGaps.getValueAtPercentile(95),
                Math.round(1000.0 * tokens / Math.max(1, steps) / BATCH_LIMIT) / 1000.0,
                loads);
    }

    /** Reads the load stalls of the answered requests, in milliseconds, from the request lines in the daemon logs. */
    private static Histogram readLoadStalls(Cluster cluster) {
        Histogram stalls = new Histogram(3);
        for (ClusterHost host : cluster.hosts()) {
            try {
                for (String line : Files.readAllLines(host.process().output())) {
                    Matcher matcher = LOAD_STALL.matcher(line);
                    if (matcher.find()) {
                        stalls.recordValue(Long.parseLong(matcher.group(1)));
                    }
                }
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
        return stalls;
    }
}
