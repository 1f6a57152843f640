package org.banyanstair.server.settings;

import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.placement.PlacementPolicy;
import org.banyanstair.server.http.BearerKey;

/**
 * Settings of the daemon. {@code docs/settings.md} documents each key with its default and range.
 *
 * @param host identity of the host
 * @param listen listen addresses
 * @param platform addresses of the external services
 * @param callers key of each caller
 * @param operators key of each operator, by name
 * @param limits request limits
 * @param timing intervals of periodic work
 * @param placement policy by which pool owners place adapters and requests
 * @param log log output
 */
public record DaemonSettings(
        Host host,
        Listen listen,
        Platform platform,
        Map<CallerId, BearerKey> callers,
        Map<String, BearerKey> operators,
        Limits limits,
        Timing timing,
        PlacementPolicy placement,
        Log log) {
    /** Copies the maps. */
    public DaemonSettings {
        callers = Collections.unmodifiableMap(new LinkedHashMap<>(callers));
        operators = Collections.unmodifiableMap(new LinkedHashMap<>(operators));
    }

    /**
     * Identity of the host.
     *
     * @param id the host
     * @param dataCentre data centre of the host
     * @param cluster name of the cluster; connections from hosts of other clusters are rejected
     */
    public record Host(HostId id, DataCentre dataCentre, String cluster) {}

    /**
     * Listen addresses of the daemon.
     *
     * @param caller for callers
     * @param operator for operators
     * @param peer for other entry hosts
     */
    public record Listen(NetworkAddress caller, NetworkAddress operator, NetworkAddress peer) {}

    /**
     * External services.
     *
     * @param log address of the log service
     * @param hostList address of the host list
     * @param callTimeoutMilliseconds timeout of a call to either service
     * @param logRetentionSeconds retention of records in the log service
     */
    public record Platform(
            NetworkAddress log, NetworkAddress hostList, int callTimeoutMilliseconds, int logRetentionSeconds) {}

    /**
     * Request limits.
     *
     * @param maximumBodyBytes maximum length of a request body
     * @param defaultDeadlineMilliseconds time to the deadline of a request without an explicit one
     * @param maximumDeadlineMilliseconds maximum time to a deadline
     * @param entryAddressKeepMilliseconds time that callers may cache a list of entry addresses
     * @param drainLimitMilliseconds maximum duration of a graceful stop
     * @param tokenSilenceLimitMilliseconds time without a token after which a stream counts as stalled
     */
    public record Limits(
            int maximumBodyBytes,
            int defaultDeadlineMilliseconds,
            int maximumDeadlineMilliseconds,
            int entryAddressKeepMilliseconds,
            int drainLimitMilliseconds,
            int tokenSilenceLimitMilliseconds) {}

    /**
     * Intervals of periodic work.
     *
     * @param heartbeatMilliseconds heartbeat interval on connections between hosts
     * @param heartbeatLimitMilliseconds time without a received frame after which such a connection is closed
     * @param hostListPollMilliseconds interval between reads of the host list
     * @param statusPollMilliseconds interval between reads of an engine's status
     * @param callBatchMilliseconds time over which call records are batched into one append
     */
    public record Timing(
            int heartbeatMilliseconds,
            int heartbeatLimitMilliseconds,
            int hostListPollMilliseconds,
            int statusPollMilliseconds,
            int callBatchMilliseconds) {}

    /**
     * Log output.
     *
     * @param level least severe level that is written
     * @param file file to write to, empty for standard error
     */
    public record Log(Level level, Optional<Path> file) {
        /** Levels from the least to the most severe. */
        public enum Level {
            /** Every step. */
            TRACE,
            /** Details for debugging. */
            DEBUG,
            /** Normal events. */
            INFO,
            /** Problems that the daemon handles. */
            WARN,
            /** Problems that need an operator. */
            ERROR
        }
    }
}
