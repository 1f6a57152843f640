package org.banyanstair.integration.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.FailureException;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.model.HostId;

/** Polls the configuration of each host every 20 ms, on one thread per host. Thread-safe. */
public final class ConfigurationPoller implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(20);

    private final List<Thread> threads = new ArrayList<>();
    private final List<ConfigurationObservation> observations = new ArrayList<>();
    private volatile boolean stopped;

    /** Starts polling the given hosts. */
    public ConfigurationPoller(List<ClusterHost> hosts) {
        hosts.forEach(this::add);
    }

    /** Starts polling one more host. */
    public synchronized void add(ClusterHost host) {
        Thread thread = new Thread(() -> poll(host.id(), new HostOperatorClient(host)), "poll " + host.id());
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void poll(HostId host, HostOperatorClient operator) {
        while (!stopped) {
            Instant askedAt = Instant.now();
            try {
                Configuration configuration = operator.configuration();
                record(new ConfigurationObservation(
                        host, askedAt, Instant.now(), configuration.version(), configuration.presetInForce()));
            } catch (FailureException exception) {
                // A stopped host does not answer; there is nothing to record.
            }
            Wait.sleepUntil(askedAt.plus(INTERVAL));
        }
    }

    private void record(ConfigurationObservation observation) {
        synchronized (observations) {
            observations.add(observation);
        }
    }

    /**
     * Returns the configurations observed so far.
     *
     * @return copy of the list, in the order of the answers for each host
     */
    public List<ConfigurationObservation> observations() {
        synchronized (observations) {
            return List.copyOf(observations);
        }
    }

    /**
     * Returns when a host first reported a version or a later one.
     *
     * @return time at which the first such answer was complete, empty if there is none yet
     */
    public Optional<Instant> firstSeen(HostId host, long version) {
        return observations().stream()
                .filter(observation -> observation.host().equals(host) && observation.version() >= version)
                .map(ConfigurationObservation::answeredAt)
                .findFirst();
    }

    /** Stops polling. */
    @Override
    public void close() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }
}
