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

/** Asks hosts for their configuration every 20 ms, each on a thread of its own. Safe for use by several threads. */
public final class ConfigurationPoller implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(20);

    private final List<Thread> threads = new ArrayList<>();
    private final List<ConfigurationObservation> observations = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Starts to poll hosts.
     *
     * @param hosts the hosts
     */
    public ConfigurationPoller(List<ClusterHost> hosts) {
        hosts.forEach(this::add);
    }

    /**
     * Starts to poll a further host.
     *
     * @param host the host
     */
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
                // A host that has stopped answers nothing, which is not an observation.
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
     * Returns what was seen.
     *
     * @return copy of the list, in order for each host
     */
    public List<ConfigurationObservation> observations() {
        synchronized (observations) {
            return List.copyOf(observations);
        }
    }

    /**
     * Finds out when a host was first seen with a version or a later one.
     *
     * @param host the host
     * @param version the version
     * @return end of the first such answer, empty if there is none yet
     */
    public Optional<Instant> firstSeen(HostId host, long version) {
        return observations().stream()
                .filter(seen -> seen.host().equals(host) && seen.version() >= version)
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
