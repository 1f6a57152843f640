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
 * Settings of one daemon. {@code docs/settings.md} documents each key with its default and range.
 *
 * @param host identity of the host
 * @param listen addresses that the daemon listens on
 * @param platform addresses of the platform's services
 * @param callers key of each caller
 * @param operators key of each operator, by name
 * @param limits limits on requests
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
     * @param dataCentre where it is
     * @param cluster name of the cluster; hosts of other clusters are refused
     */
    public record Host(HostId id, DataCentre dataCentre, String cluster) {}

    /**
     * Addresses that the daemon listens on.
     *
     * @param caller for callers
     * @param operator for operators
     * @param peer for other entry hosts
     */
    public record Listen(NetworkAddress caller, NetworkAddress operator, NetworkAddress peer) {}

    /**
     * The platform's services.
     *
     * @param log address of the log service
     * @param hostList address of the host list
     * @param callTimeoutMilliseconds time after which a call to either counts as failed
     * @param logRetentionSeconds time that the log service keeps records
     */
    public record Platform(
            NetworkAddress log, NetworkAddress hostList, int callTimeoutMilliseconds, int logRetentionSeconds) {}

    /**
     * Limits on requests.
     *
     * @param maximumBodyBytes largest accepted body
     * @param defaultDeadlineMilliseconds time to the deadline of a request that names none
     * @param maximumDeadlineMilliseconds longest accepted time to a deadline
     * @param entryAddressKeepMilliseconds time that callers may keep a list of entry addresses
     * @param drainLimitMilliseconds time to the deadline of a planned stop
     * @param tokenSilenceLimitMilliseconds time without a token after which a stream counts as silent
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
     * @param heartbeatMilliseconds time between heartbeats on a connection between hosts
     * @param heartbeatLimitMilliseconds time without a frame after which such a connection is closed
     * @param hostListPollMilliseconds time between reads of the host list
     * @param statusPollMilliseconds time between reads of an engine's status
     * @param callBatchMilliseconds time over which records of calls are collected into one append
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
            /** Details for the search of faults. */
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
