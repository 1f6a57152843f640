package org.banyanstair.integration.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import okhttp3.HttpUrl;
import org.banyanstair.cli.operator.ClusterStatus;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;

/** Operator client for a single host. Thread-safe. */
public final class HostOperatorClient {
    private final OperatorClient client;

    /** Creates a client for the operator address of a host. */
    public HostOperatorClient(ClusterHost host) {
        client = new OperatorClient(List.of(url(host)), Cluster.OPERATOR_KEY);
    }

    private static HttpUrl url(ClusterHost host) {
        return HttpUrl.get("http://" + host.operator());
    }

    /** Returns the configuration in force on the host. */
    public Configuration configuration() {
        return client.configuration();
    }

    /** Returns the cluster status as this host reports it. */
    public ClusterStatus status() {
        return client.status();
    }

    /**
     * Submits a change without retries.
     *
     * @return the verdict, with {@link Failure.ChangeOutcomeUnknown} if it is not known
     */
    public ChangeVerdict submit(ConfigurationChange change) {
        try {
            return client.submit(change);
        } catch (FailureException exception) {
            return new ChangeVerdict.Refused(exception.failure());
        }
    }

    /**
     * Polls hosts for the verdict on a change until one of them knows it.
     *
     * @param limit longest time to poll
     * @return the verdict, empty if no host returned one within the limit
     */
    public Optional<ChangeVerdict> awaitVerdict(List<ClusterHost> hosts, String changeId, Duration limit) {
        Instant deadline = Instant.now().plus(limit);
        while (Instant.now().isBefore(deadline)) {
            Optional<ChangeVerdict> verdict = hosts.stream()
                    .flatMap(host -> client.verdict(url(host), changeId).stream())
                    .filter(found -> !isUnknown(found))
                    .findFirst();
            if (verdict.isPresent()) {
                return verdict;
            }
            Wait.sleep(Duration.ofMillis(100));
        }
        return Optional.empty();
    }

    /** Returns whether a verdict is {@link Failure.ChangeOutcomeUnknown}. */
    public static boolean isUnknown(ChangeVerdict verdict) {
        return verdict instanceof ChangeVerdict.Refused refused
                && refused.failure() instanceof Failure.ChangeOutcomeUnknown;
    }
}
