package org.banyanstair.transport;

import java.time.Duration;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;

/**
 * Settings of the connections to other entry hosts.
 *
 * @param identity identity of this host
 * @param cluster name of the cluster; connections from hosts of other clusters are rejected
 * @param bindAddress address on which this host accepts peer connections
 * @param heartbeatInterval interval of pings on an open connection without other messages
 * @param heartbeatTimeout time without a received frame after which a connection is closed
 * @param connectTimeout timeout of the TCP connection, and again of the peer's hello
 * @param maximumFrameBytes maximum length of a frame, without its length field
 */
public record PeerTransportSettings(
        HostIdentity identity,
        String cluster,
        NetworkAddress bindAddress,
        Duration heartbeatInterval,
        Duration heartbeatTimeout,
        Duration connectTimeout,
        int maximumFrameBytes) {
    /** Maximum frame length that the protocol allows, 1 MiB. */
    public static final int DEFAULT_MAXIMUM_FRAME_BYTES = 1 << 20;

    /** Validates the durations and the frame limit. */
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
