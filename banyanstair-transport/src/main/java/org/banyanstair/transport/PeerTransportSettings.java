package org.banyanstair.transport;

import java.time.Duration;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;

/**
 * Settings of the connections to other entry hosts.
 *
 * @param identity this host
 * @param cluster name of the cluster; peers of other clusters are refused
 * @param bindAddress address on which peers connect
 * @param heartbeatInterval time between pings on an open connection without other messages
 * @param heartbeatTimeout a connection that receives nothing for this long is closed
 * @param connectTimeout limit for the TCP connection and then again for the peer's hello
 * @param maximumFrameBytes longest accepted frame, without its length field
 */
public record PeerTransportSettings(
        HostIdentity identity,
        String cluster,
        NetworkAddress bindAddress,
        Duration heartbeatInterval,
        Duration heartbeatTimeout,
        Duration connectTimeout,
        int maximumFrameBytes) {
    /** The frame limit of the protocol, 1 MiB. */
    public static final int DEFAULT_MAXIMUM_FRAME_BYTES = 1 << 20;

    /** Checks the durations and the frame limit. */
    public PeerTransportSettings {
        require(cluster != null && !cluster.isEmpty(), "cluster", "a name");
        require(heartbeatInterval.toMillis() > 0, "heartbeat-interval", "at least 1 ms");
        require(
                heartbeatTimeout.compareTo(heartbeatInterval) > 0,
                "silence-limit",
                "longer than the heartbeat interval");
        require(connectTimeout.toMillis() > 0, "connect-timeout", "at least 1 ms");
        require(maximumFrameBytes > 0, "maximum-frame-bytes", "at least 1");
    }

    private static void require(boolean condition, String field, String accepted) {
        if (!condition) {
            throw new FailureException(new Failure.InvalidField(field, accepted));
        }
    }
}
