package org.banyanstair.integration.quickstart;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.testsupport.history.EndpointRun;

/** Sends the sample traffic through a running cluster, kills a host while requests run, and checks the promises. */
final class SampleRun {
    private static final int REQUESTS_BEFORE_KILL = 140;
    private static final int SHARED_ORDERS = 5;
    private static final int BURST_REQUESTS = 42;
    private static final int REQUESTS_AFTER_KILL = 70;
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(20);
    /** Long enough for the requests of the burst to reach the hosts, too short for most of them to be answered. */
    private static final Duration KILL_DELAY = Duration.ofMillis(40);

    private static final Duration RESULT_TIMEOUT = SampleCaller.DEADLINE.plusSeconds(5);

    private final Cluster cluster;
    private final SampleTraffic traffic = new SampleTraffic();
    private final List<CompletableFuture<SampleResult>> sent = new ArrayList<>();
    private int nextHost;

    SampleRun(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Sends the traffic once and waits for all results.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws TimeoutException if requests have no outcome long after their deadline
     */
    QuickStartResult run() throws InterruptedException, TimeoutException {
        List<ClusterHost> hosts = cluster.hosts();
        ClusterHost killed = hosts.get(0);
        try (SampleCaller caller = new SampleCaller(hosts)) {
            sendPaced(caller, REQUESTS_BEFORE_KILL);
            sendBadRequests(caller);
            sendSharedOrders(caller, hosts.size());
            for (int request = 0; request < BURST_REQUESTS; request++) {
                send(caller, traffic.next());
            }
            Thread.sleep(KILL_DELAY.toMillis());
            cluster.kill(killed);
            sendPaced(caller, REQUESTS_AFTER_KILL);
            List<SampleResult> results = awaitResults();
            List<EndpointRun> runs = EndpointRecords.runs(cluster);
            List<BrokenPromise> broken =
                    new PromiseCheck(results).check(caller.events(), runs, EndpointRecords.violations(cluster));
            return new QuickStartResult(results, killed.id(), runs, broken);
        }
    }

    private void send(SampleCaller caller, SampleRequest request) {
        sent.add(caller.send(request, nextHost++));
    }

    private void sendPaced(SampleCaller caller, int count) throws InterruptedException {
        for (int request = 0; request < count; request++) {
            send(caller, traffic.next());
            Thread.sleep(REQUEST_INTERVAL.toMillis());
        }
    }

    private void sendBadRequests(SampleCaller caller) throws InterruptedException, TimeoutException {
        SampleRequest order = traffic.order();
        send(caller, order);
        awaitResults();
        traffic.badRequests(order).forEach(request -> send(caller, request));
    }

    private void sendSharedOrders(SampleCaller caller, int hosts) {
        for (int order = 0; order < SHARED_ORDERS; order++) {
            traffic.copiesOfOrder(hosts).forEach(request -> send(caller, request));
        }
    }

    private List<SampleResult> awaitResults() throws InterruptedException, TimeoutException {
        try {
            CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
                    .get(RESULT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException exception) {
            throw new IllegalStateException(exception.getCause());
        }
        return sent.stream().map(CompletableFuture::join).toList();
    }
}
