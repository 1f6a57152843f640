package org.banyanstair.forwarder;

import java.time.Duration;
import java.util.Optional;

import org.banyanstair.forwarding.ForwardingSettings;
import org.banyanstair.model.NetworkAddress;

/**
 * Settings of the daemon that passes requests on.
 *
 * @param forwarding settings of the decisions
 * @param callerAddress address for callers
 * @param readinessAddress address for questions whether this host is ready; empty if nobody asks
 * @param directoryAddress address for questions which hosts to use; empty if this host does not answer them
 * @param metricsAddress address of the metrics
 * @param drainGracePeriod time after a signal to stop in which callers with old answers of the directory may still come
 * @param shutdownTimeout time after a signal to stop at which the process ends in any case
 */
public record ForwarderSettings(
        ForwardingSettings forwarding,
        NetworkAddress callerAddress,
        Optional<NetworkAddress> readinessAddress,
        Optional<NetworkAddress> directoryAddress,
        NetworkAddress metricsAddress,
        Duration drainGracePeriod,
        Duration shutdownTimeout) {}
