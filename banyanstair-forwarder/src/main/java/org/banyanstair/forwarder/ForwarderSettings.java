package org.banyanstair.forwarder;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.forwarding.ForwardingSettings;
import org.banyanstair.model.NetworkAddress;

/**
 * Settings of the forwarding daemon.
 *
 * @param forwarding settings of the reducer
 * @param callerAddress address on which callers are served
 * @param readinessAddress address of the readiness probe; empty if there is none
 * @param directoryAddress address of the directory; empty if this host does not serve it
 * @param metricsAddress address on which metrics are served
 * @param estimatePeriod time after the shutdown signal in which requests are accepted that are expected, but not sure,
 *     to end before the process; at most {@code shutdownTimeout}
 * @param drainGracePeriod time after the shutdown signal in which callers with stale directory entries are still
 *     served
 * @param shutdownTimeout time after the shutdown signal at which the process ends even with requests in flight
 * @param memoryBytes limit of the memory of the process, which also counts direct buffers and the buffers of sockets;
 *     empty if it is unknown
 */
public record ForwarderSettings(
        ForwardingSettings forwarding,
        NetworkAddress callerAddress,
        Optional<NetworkAddress> readinessAddress,
        Optional<NetworkAddress> directoryAddress,
        NetworkAddress metricsAddress,
        Duration estimatePeriod,
        Duration drainGracePeriod,
        Duration shutdownTimeout,
        OptionalLong memoryBytes) {}
