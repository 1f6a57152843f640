package org.banyanstair.integration.hosts;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.ServiceId;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.banyanstair.testsupport.load.LoadPlan;
import org.banyanstair.testsupport.load.LoadResult;
import org.banyanstair.testsupport.load.OpenLoopLoad;
import org.banyanstair.testsupport.load.ServiceRequest;

/** Sends idempotent requests, half of them chats and half stock lookups, with open-loop arrivals. */
public final class IdempotentTraffic implements AutoCloseable {
    /** Number of adapters that the chats use: one less than the adapter slots of an engine. */
    public static final int ADAPTERS = 3;

    /** Number of tokens per chat answer of the background load. */
    public static final int TOKENS = 8;

    private static final int MAXIMUM_LOAD_SECONDS = 90;

    private static final int MAXIMUM_REQUESTS_PER_SECOND = 1_000;

    private static final Duration DEADLINE_AFTER = Duration.ofSeconds(10);

    private final HttpCaller caller = new HttpCaller(200, Duration.ofSeconds(20), Clock.systemUTC());
    private final List<FailedRequest> failures = new ArrayList<>();
    private final List<CompletableFuture<LoadResult>> results = new ArrayList<>();
    private Thread thread;
    private volatile boolean stopped;

    /**
     * Sends a streamed chat.
     *
     * @param limit time to the deadline
     */
    public CompletableFuture<CallerResult> chat(NetworkAddress entry, int adapter, int tokens, Duration limit) {
        return caller.chat(entry, new ChatCall(headers(limit), "assistant/adapter-" + adapter, "prompt", tokens, true));
    }

    /** Sends a stock lookup to the plain service. */
    public CompletableFuture<CallerResult> lookUpStock(NetworkAddress entry) {
        return caller.call(
                entry,
                new ServiceRequest(
                        headers(DEADLINE_AFTER),
                        new ServiceId("order-desk"),
                        "GET",
                        "/stock/blanket",
                        Optional.empty(),
                        new byte[0]));
    }

    static CallerHeaders headers(Duration limit) {
        return new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(Instant.now().plus(limit)),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns the HTTP client of this traffic. */
    public HttpCaller caller() {
        return caller;
    }

    /**
     * Starts background load that runs until {@link #stopAndAwait}.
     *
     * @param requestsPerSecond mean rate of arrivals
     * @param seed seed of arrivals and requests
     * @param entryAddresses chooses the host for each request
     */
    public void start(double requestsPerSecond, long seed, Supplier<NetworkAddress> entryAddresses) {
        thread = new Thread(() -> run(requestsPerSecond, seed, entryAddresses), "traffic");
        thread.setDaemon(true);
        thread.start();
    }

    private void run(double requestsPerSecond, long seed, Supplier<NetworkAddress> entryAddresses) {
        try {
            for (int second = 0; second < MAXIMUM_LOAD_SECONDS && !stopped; second++) {
                // The load of a second does not wait for answers of earlier ones, so the rate stays constant.
                LoadPlan plan = new LoadPlan(
                        requestsPerSecond,
                        MAXIMUM_REQUESTS_PER_SECOND,
                        Duration.ofSeconds(1),
                        Duration.ZERO,
                        seed + second);
                new OpenLoopLoad(plan, (sequence, random, intended) -> sendRecorded(random, entryAddresses)).run();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the load and waits for the requests in flight.
     *
     * @return number of completed requests
     * @throws Exception if a request has no result after 20 s, or could not be sent because no host address was known
     */
    public int stopAndAwait() throws Exception {
        stopped = true;
        thread.join(Duration.ofSeconds(5).toMillis());
        List<CompletableFuture<LoadResult>> all;
        synchronized (this) {
            all = List.copyOf(results);
        }
        CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).get(20, TimeUnit.SECONDS);
        return all.size();
    }

    private CompletableFuture<LoadResult> sendRecorded(Random random, Supplier<NetworkAddress> entryAddresses) {
        CompletableFuture<LoadResult> result;
        try {
            result = send(random, entryAddresses.get());
        } catch (RuntimeException exception) {
            result = CompletableFuture.failedFuture(exception);
        }
        synchronized (this) {
            results.add(result);
        }
        return result;
    }

    private CompletableFuture<LoadResult> send(Random random, NetworkAddress entry) {
        boolean chat = random.nextBoolean();
        int adapter = random.nextInt(ADAPTERS);
        Instant sentAt = Instant.now();
        CompletableFuture<CallerResult> result =
                chat ? chat(entry, adapter, TOKENS, DEADLINE_AFTER) : lookUpStock(entry);
        return result.thenApply(ended -> {
            recordFailure(entry, sentAt, ended);
            return ended.toLoadResult();
        });
    }

    private synchronized void recordFailure(NetworkAddress entry, Instant sentAt, CallerResult result) {
        boolean wrongLength = result instanceof CallerResult.Generated generated && generated.tokens() != TOKENS;
        boolean wrongStatus = result instanceof CallerResult.ServiceAnswered answered && answered.status() != 200;
        if (wrongLength
                || wrongStatus
                || result instanceof CallerResult.NotRun
                || result instanceof CallerResult.Unknown) {
            failures.add(new FailedRequest(entry, sentAt, Instant.now(), result));
        }
    }

    /**
     * Returns the requests without a complete and correct answer.
     *
     * @return copy of the list
     */
    public synchronized List<FailedRequest> failures() {
        return List.copyOf(failures);
    }

    /** Cancels the requests in flight. */
    @Override
    public void close() {
        caller.close();
    }
}
