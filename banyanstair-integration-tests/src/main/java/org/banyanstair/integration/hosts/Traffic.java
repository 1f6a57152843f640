package org.banyanstair.integration.hosts;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.ServiceId;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.banyanstair.testsupport.load.LoadPlan;
import org.banyanstair.testsupport.load.LoadReport;
import org.banyanstair.testsupport.load.LoadResult;
import org.banyanstair.testsupport.load.OpenLoopLoad;
import org.banyanstair.testsupport.load.ServiceRequest;

/** Idempotent requests, half of them chats and half stock lookups, at random times. */
public final class Traffic implements AutoCloseable {
    /** Adapters that the chats use; as many as an engine of the test has slots, less one. */
    public static final int ADAPTERS = 3;

    private static final int TOKENS = 8;

    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private final HttpCaller caller = new HttpCaller(200, Duration.ofSeconds(20), Clock.systemUTC());
    private final List<String> failures = new ArrayList<>();

    /**
     * A chat that ends within a few hundred milliseconds.
     *
     * @param entry caller address of a host
     * @param adapter number of the adapter
     * @param tokens number of tokens
     * @param limit time to the deadline
     * @return the result
     */
    public CompletableFuture<CallerResult> chat(NetworkAddress entry, int adapter, int tokens, Duration limit) {
        return caller.chat(entry, new ChatCall(headers(limit), "assistant/adapter-" + adapter, "prompt", tokens, true));
    }

    /**
     * Looks stock up.
     *
     * @param entry caller address of a host
     * @return the result
     */
    public CompletableFuture<CallerResult> stock(NetworkAddress entry) {
        return caller.call(
                entry,
                new ServiceRequest(
                        headers(DEADLINE),
                        new ServiceId("order-desk"),
                        "GET",
                        "/stock/blanket",
                        Optional.empty(),
                        new byte[0]));
    }

    private static CallerHeaders headers(Duration limit) {
        return new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(Instant.now().plus(limit)),
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns the client, to ask for addresses.
     *
     * @return the client
     */
    public HttpCaller caller() {
        return caller;
    }

    /**
     * Starts load in the background.
     *
     * @param plan how much
     * @param entries chooses the host for each request
     * @return the report once all requests have ended
     */
    public CompletableFuture<LoadReport> start(LoadPlan plan, Supplier<NetworkAddress> entries) {
        OpenLoopLoad load = new OpenLoopLoad(plan, (sequence, random, intended) -> one(random, entries.get()));
        CompletableFuture<LoadReport> report = new CompletableFuture<>();
        Thread thread = new Thread(
                () -> {
                    try {
                        report.complete(load.run());
                    } catch (InterruptedException | RuntimeException exception) {
                        report.completeExceptionally(exception);
                    }
                },
                "traffic");
        thread.setDaemon(true);
        thread.start();
        return report;
    }

    private CompletableFuture<LoadResult> one(Random random, NetworkAddress entry) {
        boolean chat = random.nextBoolean();
        int adapter = random.nextInt(ADAPTERS);
        Instant sentAt = Instant.now();
        CompletableFuture<CallerResult> result = chat ? chat(entry, adapter, TOKENS, DEADLINE) : stock(entry);
        return result.thenApply(ended -> {
            note((chat ? "chat" : "stock") + " sent at " + sentAt + " to " + entry, ended);
            return ended.toLoadResult();
        });
    }

    private synchronized void note(String request, CallerResult result) {
        boolean wrongLength = result instanceof CallerResult.Generated generated && generated.tokens() != TOKENS;
        boolean wrongStatus = result instanceof CallerResult.ServiceAnswered answered && answered.status() != 200;
        if (wrongLength
                || wrongStatus
                || result instanceof CallerResult.NotRun
                || result instanceof CallerResult.Unknown) {
            failures.add(request + " ended at " + Instant.now() + " as " + result);
        }
    }

    /**
     * Lists requests that were not answered whole.
     *
     * @return a line for each
     */
    public synchronized List<String> failures() {
        return List.copyOf(failures);
    }

    /** Cancels what is in flight. */
    @Override
    public void close() {
        caller.close();
    }
}
