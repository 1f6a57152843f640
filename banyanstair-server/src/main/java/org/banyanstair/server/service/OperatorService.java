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

/** Serves operators. Implementations are safe for use by several threads; futures never complete exceptionally. */
public interface OperatorService {
    /**
     * Returns the configuration in force on this host.
     *
     * @return the configuration, immutable
     */
    Configuration configuration();

    /**
     * Submits a change and waits for the verdict of the log.
     *
     * @return the verdict; refused with {@link Failure.LogUnavailable} if it certainly was not recorded, and with
     *     {@link Failure.ChangeOutcomeUnknown} if that is not known
     */
    CompletableFuture<ChangeVerdict> submit(ConfigurationChange change);

    /**
     * Finds the verdict on a change that was submitted earlier, through any host.
     *
     * @param changeId id of the change
     * @return the verdict, empty if this host has not seen the change
     */
    CompletableFuture<Optional<ChangeVerdict>> verdict(String changeId);

    /** Asks all hosts for their state. */
    CompletableFuture<ClusterStatus> status();

    /**
     * Asks the pool owners for the state of their endpoints.
     *
     * @return one report for each endpoint
     */
    CompletableFuture<List<EndpointReport>> endpoints();

    /**
     * Asks a host to drain and stop.
     *
     * @return empty if the request was handed over, else why not
     */
    CompletableFuture<Optional<Failure>> drain(HostId host);
}
