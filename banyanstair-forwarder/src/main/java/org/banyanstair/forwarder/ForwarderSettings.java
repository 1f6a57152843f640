package org.banyanstair.forwarder;

import java.time.Duration;
import java.util.Optional;

import org.banyanstair.forwarding.ForwardingSettings;
import org.banyanstair.model.NetworkAddress;

/**
 * Settings of the daemon that passes requests on.
 *
 * @param forwarding settings of the decisions
 * @param callers address for callers
 * @param readiness address for questions whether this host is ready; empty if nobody asks
 * @param directory address for questions which hosts to use; empty if this host does not answer them
 * @param metrics address of the metrics
 * @param lateCallers time after a signal to stop in which callers with old answers of the directory may still come
 * @param stopLimit time after a signal to stop at which the process ends in any case
 */
public record ForwarderSettings(
        ForwardingSettings forwarding,
        NetworkAddress callers,
        Optional<NetworkAddress> readiness,
        Optional<NetworkAddress> directory,
        NetworkAddress metrics,
        Duration lateCallers,
        Duration stopLimit) {}
