package org.banyanstair.testsupport.weights;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.errors.FailureException;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.fault.Counters;
import org.banyanstair.testsupport.fault.PlatformStandInServer;
import org.banyanstair.testsupport.fault.Reply;
import org.banyanstair.testsupport.fault.Request;

/** Simulates the platform's rate-limited weight store. Thread-safe. */
public final class WeightStoreStandIn {
    private final WeightStoreSettings settings;
    private final LoadThrottle throttle;
    private final PlatformStandInServer server;
    private WeightStoreFaults faults = WeightStoreFaults.NONE;
    private SplittableRandom random = new SplittableRandom(0);

    /**
     * Creates a weight store that is not started.
     *
     * @param port TCP port on the loopback interface, 0 for a free one
     */
    public WeightStoreStandIn(int port, WeightStoreSettings settings) {
        this.settings = settings;
        throttle = new LoadThrottle(settings, System.nanoTime());
        server = new PlatformStandInServer(port)
                .operation("GET", "/adapters/{service}/{adapter}/{version}", this::load)
                .faultControls(WeightStoreFaults.class, WeightStoreFaults::shared, this::faults, this::setFaults);
        counters().declare("loads", "failedLoads", "bytes");
    }

    /** Starts listening and returns the address. */
    public NetworkAddress start() {
        return server.start();
    }

    /** Closes the listening socket and all connections. */
    public void stop() {
        server.stop();
    }

    /** Returns the server, which has the address and {@link PlatformStandInServer#awaitApplied}. */
    public PlatformStandInServer server() {
        return server;
    }

    /** Returns the operation counts: {@code loads}, {@code failedLoads}, {@code bytes}. */
    public Counters counters() {
        return server.counters();
    }

    /**
     * Returns the faults in force.
     *
     * @return the faults, with the remaining number of failing loads
     */
    public synchronized WeightStoreFaults faults() {
        return faults.withShared(server.injector().get());
    }

    /** Replaces the faults in force and reseeds the random failures. */
    public synchronized void setFaults(WeightStoreFaults value) {
        faults = value;
        random = new SplittableRandom(value.seed());
        server.setFaults(value.shared());
    }

    private CompletableFuture<Reply> load(Request request) {
        String name = adapterName(request);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        schedule(throttle.reserveStart(System.nanoTime()), () -> transfer(name, reply));
        return reply;
    }

    private void transfer(String name, CompletableFuture<Reply> reply) {
        schedule(throttle.beginTransfer(), () -> {
            throttle.endTransfer();
            reply.complete(finish(name));
        });
    }

    private Reply finish(String name) {
        counters().add("loads", 1);
        if (consumeFailure(name)) {
            counters().add("failedLoads", 1);
            return Reply.error(500, "load_failed");
        }
        counters().add("bytes", settings.adapterBytes());
        byte[] body = Arrays.copyOf(name.getBytes(StandardCharsets.UTF_8), settings.adapterBytes());
        return new Reply(200, "application/octet-stream", body);
    }

    private synchronized boolean consumeFailure(String name) {
        if (faults.failingAdapters().contains(name)) {
            return true;
        }
        if (faults.failingLoads() > 0) {
            faults = faults.withFailingLoads(faults.failingLoads() - 1);
            return true;
        }
        return faults.failureProbability() > 0 && random.nextDouble() < faults.failureProbability();
    }

    private void schedule(long nanos, Runnable task) {
        server.timer().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    private static String adapterName(Request request) {
        try {
            return AdapterVersion.parse(
                            request.path("service") + "/" + request.path("adapter") + "@" + request.path("version"))
                    .engineName();
        } catch (FailureException exception) {
            throw new IllegalArgumentException(exception);
        }
    }
}
