package org.banyanstair.integration.quickstart;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.testsupport.engine.EngineText;
import org.banyanstair.testsupport.history.HistoryEvent;
import org.banyanstair.testsupport.history.HistoryRecorder;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.HttpCaller;

/**
 * Sends sample requests and records their results in a history. Thread-safe.
 *
 * <p>Retries a request through the next host with the same key: at once if the connection failed or was lost or an
 * idempotent request has an unknown outcome, and after {@link #RETRY_DELAY} if the response was 503.
 */
final class SampleCaller implements AutoCloseable {
    static final Duration DEADLINE = Duration.ofSeconds(20);

    private static final int MAXIMUM_CONCURRENT_CALLS = 400;
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final List<ClusterHost> hosts;
    private final HistoryRecorder history = new HistoryRecorder(Clock.systemUTC());
    private final HttpCaller client =
            new HttpCaller(MAXIMUM_CONCURRENT_CALLS, DEADLINE.plusSeconds(2), Clock.systemUTC());

    SampleCaller(List<ClusterHost> hosts) {
        this.hosts = List.copyOf(hosts);
    }

    List<HistoryEvent> events() {
        return history.events();
    }

    /**
     * Sends a request and retries it until its outcome is final.
     *
     * @param host index of the host for the first attempt
     */
    CompletableFuture<SampleResult> send(SampleRequest request, int host) {
        return new PendingRequest(request).attempt(host);
    }

    private final class PendingRequest {
        private final SampleRequest request;
        private final Instant start = Instant.now();
        private final long startNanos = System.nanoTime();
        private final List<SampleResult.Attempt> attempts = new ArrayList<>();

        PendingRequest(SampleRequest request) {
            this.request = request;
        }

        CompletableFuture<SampleResult> attempt(int index) {
            ClusterHost host = hosts.get(index % hosts.size());
            HistoryEvent.Sent sent = history.sent(
                    request.key(),
                    request.caller(),
                    host.id(),
                    request.model(),
                    request.kind().isRepeatable());
            return request.call()
                    .send(client, host.caller(), start.plus(DEADLINE))
                    .thenCompose(result -> {
                        record(sent, result);
                        attempts.add(new SampleResult.Attempt(host.id(), result));
                        return completeOrRetry(index, result);
                    });
        }

        private CompletableFuture<SampleResult> completeOrRetry(int index, CallerResult result) {
            Optional<Duration> delay = retryDelay(result);
            if (delay.isEmpty() || attempts.size() == MAXIMUM_ATTEMPTS) {
                Duration latency = Duration.ofNanos(System.nanoTime() - startNanos);
                return CompletableFuture.completedFuture(new SampleResult(request, attempts, latency));
            }
            return CompletableFuture.supplyAsync(
                            () -> index + 1,
                            CompletableFuture.delayedExecutor(delay.get().toMillis(), TimeUnit.MILLISECONDS))
                    .thenCompose(this::attempt);
        }

        private Optional<Duration> retryDelay(CallerResult result) {
            if (result instanceof CallerResult.NotRun notRun) {
                boolean unavailable = notRun.status() == SERVICE_UNAVAILABLE;
                return notRun.status() == 0
                        ? Optional.of(Duration.ZERO)
                        : Optional.of(RETRY_DELAY).filter(after -> unavailable);
            }
            boolean lost = attempts.get(attempts.size() - 1).isConnectionLost();
            boolean unknown = result instanceof CallerResult.Unknown;
            return Optional.of(Duration.ZERO)
                    .filter(zero -> lost || unknown && request.kind().isRepeatable());
        }
    }

    private void record(HistoryEvent.Sent sent, CallerResult result) {
        if (result instanceof CallerResult.Generated generated) {
            history.answered(
                    sent,
                    generated.requestId(),
                    200,
                    generated.adapter(),
                    generated.tokens(),
                    EngineText.digest(generated.text()));
        } else if (result instanceof CallerResult.ServiceAnswered answered) {
            history.answered(sent, answered.requestId(), answered.status(), Optional.empty(), 0, "");
        } else if (result instanceof CallerResult.NotRun notRun) {
            history.notRun(sent, notRun.requestId(), notRun.code());
        } else {
            history.unknown(sent);
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
