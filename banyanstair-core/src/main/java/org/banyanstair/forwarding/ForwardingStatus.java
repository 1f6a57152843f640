package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Map;

import org.banyanstair.external.Topic;

/**
 * What a host has to do and what it believes, for metrics.
 *
 * @param openRequests requests of callers that have not ended
 * @param waitingRequests those of them that no endpoint works on
 * @param configurationVersion version in force, -1 before the first is known
 * @param endpoints endpoints of all services by condition
 * @param commandedRunners runners that this host commands
 * @param livePeers other hosts that were heard lately
 * @param topics what is known of the platform's topics
 */
public record ForwardingStatus(
        int openRequests,
        int waitingRequests,
        long configurationVersion,
        Map<EndpointCondition, Long> endpoints,
        int commandedRunners,
        int livePeers,
        Map<Topic, TopicStatus> topics) {
    /** Copies the maps. */
    public ForwardingStatus {
        endpoints = Map.copyOf(endpoints);
        topics = Map.copyOf(topics);
    }

    /**
     * What is known of a topic.
     *
     * @param available whether the last read was answered
     * @param end offset up to which it is known, -1 before the first read
     * @param age time since the start of the last read that was answered; zero before the first
     */
    public record TopicStatus(boolean available, long end, Duration age) {}
}
