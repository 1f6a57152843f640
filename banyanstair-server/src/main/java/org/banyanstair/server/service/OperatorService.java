package org.banyanstair.server.service;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointReport;

/** Operations for operators. Implementations are thread-safe; futures never complete exceptionally. */
public interface OperatorService {
    /** Returns the configuration in force on this host, immutable. */
    Configuration configuration();

    /**
     * Submits a change and waits until the log determines its verdict.
     *
     * @return the verdict; refused with {@link Failure.LogUnavailable} if the change was certainly not recorded, and
     *     with {@link Failure.ChangeOutcomeUnknown} if that is not known
     */
    CompletableFuture<ChangeVerdict> submit(ConfigurationChange change);

    /**
     * Returns the verdict on a change that was submitted earlier through any host.
     *
     * @return the verdict, empty if this host has not seen the change
     */
    CompletableFuture<Optional<ChangeVerdict>> verdict(String changeId);

    /** Queries the state of all hosts. */
    CompletableFuture<ClusterStatus> status();

    /**
     * Queries the pool owners for the state of their endpoints.
     *
     * @return one report per endpoint
     */
    CompletableFuture<List<EndpointReport>> endpoints();

    /**
     * Asks a host to drain and stop.
     *
     * @return empty if the request was handed over, otherwise the reason why not
     */
    CompletableFuture<Optional<Failure>> drain(HostId host);
}
