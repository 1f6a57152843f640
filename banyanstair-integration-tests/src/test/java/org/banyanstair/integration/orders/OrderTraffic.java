package org.banyanstair.integration.orders;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.integration.cluster.ClusterServiceEndpoint;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.testsupport.history.EndpointRun;
import org.banyanstair.testsupport.history.HistoryChecker;
import org.banyanstair.testsupport.history.HistoryEvent;
import org.banyanstair.testsupport.history.HistoryRecorder;
import org.banyanstair.testsupport.history.Violation;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.HttpCaller;
import org.banyanstair.testsupport.load.ServiceRequest;

/** Places each order at all hosts at the same moment with one idempotency key, and again after each failed attempt. */
final class OrderTraffic implements AutoCloseable {
    private static final Duration DEADLINE_AFTER = Duration.ofSeconds(4);
    private static final int MAXIMUM_REPEATS = 2;
    private static final long REPEAT_DELAY_MILLIS = 300;

    private final Cluster cluster;
    private final HttpCaller caller = new HttpCaller(500, Duration.ofSeconds(8), Clock.systemUTC());
    private final HistoryRecorder recorder = new HistoryRecorder(Clock.systemUTC());
    private final Random random;
    private final Queue<OrderAttempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<CompletableFuture<Void>> inFlight = new ArrayList<>();
    private int keys;

    /** One request for an order with the result that its caller saw. */
    record OrderAttempt(String key, CallerResult result, Duration duration) {}

    OrderTraffic(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
    }

    /** Places one new order every 20 to 80 ms until an instant. */
    void placeUntil(Instant end) {
        while (Instant.now().isBefore(end)) {
            placeAtAllHosts();
            sleep(20 + random.nextInt(60));
        }
    }

    /** Places one new order at all hosts at the same moment. */
    void placeAtAllHosts() {
        String key = "order-" + keys++;
        List<ClusterHost> hosts = cluster.hosts();
        int first = random.nextInt(hosts.size());
        for (int index = 0; index < hosts.size(); index++) {
            inFlight.add(place(key, hosts, first + index, MAXIMUM_REPEATS));
        }
    }

    private CompletableFuture<Void> place(String key, List<ClusterHost> hosts, int index, int repeats) {
        ClusterHost host = hosts.get(index % hosts.size());
        HistoryEvent.Sent sent = recorder.sent(key, new CallerId(Cluster.CALLER), host.id(), Optional.empty(), false);
        Instant start = Instant.now();
        CallerHeaders headers = new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(start.plus(DEADLINE_AFTER)),
                Optional.empty(),
                Optional.of(key));
        ServiceRequest request = new ServiceRequest(
                headers,
                new ServiceId("order-desk"),
                "POST",
                "/orders",
                Optional.of("text/plain"),
                key.getBytes(StandardCharsets.UTF_8));
        return caller.call(host.caller(), request).thenCompose(result -> {
            record(sent, result);
            attempts.add(new OrderAttempt(key, result, Duration.between(start, Instant.now())));
            if (repeats == 0 || result instanceof CallerResult.ServiceAnswered) {
                return CompletableFuture.completedFuture(null);
            }
            return CompletableFuture.supplyAsync(
                            () -> place(key, hosts, index + 1, repeats - 1),
                            CompletableFuture.delayedExecutor(REPEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(repeated -> repeated);
        });
    }

    private void record(HistoryEvent.Sent sent, CallerResult result) {
        if (result instanceof CallerResult.ServiceAnswered answered) {
            String text = new String(answered.body(), StandardCharsets.UTF_8);
            recorder.answered(sent, answered.requestId(), answered.status(), Optional.empty(), 0, text);
        } else if (result instanceof CallerResult.NotRun notRun) {
            recorder.notRun(sent, notRun.requestId(), notRun.code());
        } else {
            recorder.unknown(sent);
        }
    }

    /** Waits until all requests and their repetitions have ended, and returns them. */
    List<OrderAttempt> await() {
        CompletableFuture.allOf(inFlight.toArray(CompletableFuture[]::new))
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
        return List.copyOf(attempts);
    }

    /** Returns the violations found in the history of requests and the runs that the endpoints recorded. */
    List<Violation> violations() {
        return new HistoryChecker(recorder.events(), runs(), List.of(), answered -> Optional.empty()).check();
    }

    private List<EndpointRun> runs() {
        return cluster.serviceEndpoints().stream().flatMap(OrderTraffic::runs).toList();
    }

    private static java.util.stream.Stream<EndpointRun> runs(ClusterServiceEndpoint serviceEndpoint) {
        return serviceEndpoint.service().record().stream()
                .map(run -> new EndpointRun(
                        serviceEndpoint.endpoint().id(),
                        run.requestId(),
                        run.body(),
                        Optional.empty(),
                        0,
                        "",
                        run.started(),
                        run.ended()));
    }

    /** Returns the idempotency keys for which callers received different answers. */
    List<String> differingAnswers() {
        Map<String, Long> answers = recorder.events().stream()
                .filter(HistoryEvent.Answered.class::isInstance)
                .map(HistoryEvent.Answered.class::cast)
                .filter(HistoryEvent.Answered::isAcknowledged)
                .map(answered -> Map.entry(answered.context().key(), answered.textDigest()))
                .distinct()
                .collect(Collectors.groupingBy(Map.Entry::getKey, Collectors.counting()));
        return answers.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a line with the number of requests, the share of each outcome and the longest time to a result. */
    String summary() {
        long answered = count(CallerResult.ServiceAnswered.class);
        long notRun = count(CallerResult.NotRun.class);
        long total = attempts.size();
        Duration longest = attempts.stream()
                .map(OrderAttempt::duration)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        return String.format(
                "keys %d, requests %d, answered %.1f %%, not run %.1f %%, unknown %.1f %%, runs %d, longest %d ms",
                keys,
                total,
                100.0 * answered / total,
                100.0 * notRun / total,
                100.0 * (total - answered - notRun) / total,
                runs().size(),
                longest.toMillis());
    }

    long count(Class<? extends CallerResult> type) {
        return attempts.stream().filter(each -> type.isInstance(each.result())).count();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    @Override
    public void close() {
        caller.close();
    }
}
