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

/** An operator who uses one host only. Safe for use by several threads. */
public final class HostOperatorClient {
    private final OperatorClient client;

    /**
     * Creates an operator.
     *
     * @param host the host
     */
    public HostOperatorClient(ClusterHost host) {
        client = new OperatorClient(List.of(url(host)), Cluster.OPERATOR_KEY);
    }

    private static HttpUrl url(ClusterHost host) {
        return HttpUrl.get("http://" + host.operator());
    }

    /**
     * Reads the configuration in force on the host.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return client.configuration();
    }

    /**
     * Reads the state of the hosts as this host knows it.
     *
     * @return the state
     */
    public ClusterStatus status() {
        return client.status();
    }

    /**
     * Submits a change once.
     *
     * @param change the change
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
     * Asks hosts for the verdict on a change until one knows it.
     *
     * @param hosts the hosts
     * @param changeId id of the change
     * @param limit longest time to ask
     * @return the verdict, empty if no host knew it in time
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

    /**
     * Tells whether a verdict leaves open what became of the change.
     *
     * @param verdict the verdict
     * @return whether it is {@link Failure.ChangeOutcomeUnknown}
     */
    public static boolean isUnknown(ChangeVerdict verdict) {
        return verdict instanceof ChangeVerdict.Refused refused
                && refused.failure() instanceof Failure.ChangeOutcomeUnknown;
    }
}
