package org.banyanstair.integration.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;

/**
 * Counters of a cluster at one instant.
 *
 * @param nanos time of the reading by {@link System#nanoTime}
 * @param hosts totals of each host, in the order of the cluster
 * @param logBytes bytes appended to the log service
 */
record ControlSample(
        long nanos, List<HostTotals> hosts, long logReads, long logAppends, long logBytes, long hostListReads) {
    /**
     * Counters of a host since its start.
     *
     * @param peerBytes bytes on connections to other hosts, in both directions
     * @param peerFrames frames on connections to other hosts, in both directions
     */
    record HostTotals(double peerBytes, double peerFrames, double processorSeconds) {
        HostTotals minus(HostTotals earlier) {
            return new HostTotals(
                    peerBytes - earlier.peerBytes,
                    peerFrames - earlier.peerFrames,
                    processorSeconds - earlier.processorSeconds);
        }
    }

    static ControlSample of(Cluster cluster, MeasurementClient client) throws IOException {
        List<HostTotals> hosts = new ArrayList<>();
        for (ClusterHost host : cluster.hosts()) {
            MetricsText metrics = client.metrics(host);
            hosts.add(new HostTotals(
                    metrics.value("banyanstair_peer_bytes_in") + metrics.value("banyanstair_peer_bytes_out"),
                    metrics.value("banyanstair_peer_frames_in") + metrics.value("banyanstair_peer_frames_out"),
                    new ProcessUsage(host.process().pid()).processorSeconds()));
        }
        return new ControlSample(
                System.nanoTime(),
                hosts,
                cluster.log().counters().get("reads"),
                cluster.log().counters().get("appends"),
                cluster.log().counters().get("bytes"),
                cluster.hostList().counters().get("reads"));
    }
}
