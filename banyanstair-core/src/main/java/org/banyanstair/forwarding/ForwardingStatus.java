package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.allotments.TeamUse;
import org.banyanstair.external.Topic;
import org.banyanstair.teams.KnowledgeSource;

/**
 * Summary of a host's state, for metrics.
 *
 * @param openRequests callers' requests that have not ended
 * @param waitingRequests those of them that no endpoint is running
 * @param configurationVersion version in force, -1 before the first is known
 * @param endpoints number of endpoints of all services by condition
 * @param commandedRunners number of runners that this host commands
 * @param livePeers number of other hosts that are live
 * @param refusedRequests number of requests that are refused because they crash endpoints
 * @param refusedParts number of prompt parts whose requests are refused because they crash endpoints
 * @param limitedEndpoints number of endpoints that have named a limit of the requests of all hosts
 * @param admission how the requests of teams are admitted
 * @param readDelay longest time in the last second for which something that arrived may have waited to be read; zero
 *     if the host keeps up
 * @param keys state of the knowledge of keys
 * @param logEra era of the log
 * @param teams use of the allotments by the teams that have one
 * @param sentByDataCentre attempts of this host by the data centre of their endpoint
 * @param leavingShares share of requests that may leave the data centre, by service
 */
public record ForwardingStatus(
        int openRequests,
        int waitingRequests,
        long configurationVersion,
        Map<EndpointCondition, Long> endpoints,
        int commandedRunners,
        int livePeers,
        int refusedRequests,
        int refusedParts,
        int limitedEndpoints,
        AdmissionStatus admission,
        Duration readDelay,
        KeyStatus keys,
        EraStatus logEra,
        Map<Topic, TopicStatus> topics,
        List<TeamUse> teams,
        Map<String, Long> sentByDataCentre,
        Map<String, Double> leavingShares) {
    /** Copies the maps. */
    public ForwardingStatus {
        endpoints = Map.copyOf(endpoints);
        topics = Map.copyOf(topics);
        teams = List.copyOf(teams);
        sentByDataCentre = Map.copyOf(sentByDataCentre);
        leavingShares = Map.copyOf(leavingShares);
    }

    /**
     * State of the knowledge of keys.
     *
     * @param accepted whether this host accepts keys
     * @param age age of the knowledge; empty without strict revocation or if nothing has confirmed it
     * @param source what confirmed it; empty if nothing has
     */
    public record KeyStatus(boolean accepted, Optional<Duration> age, Optional<KnowledgeSource> source) {}

    /**
     * Era of the log.
     *
     * @param newest newest known era; 0 if the log names none
     * @param changes number of times that the log was restored since the start, as far as this host has noticed
     */
    public record EraStatus(long newest, long changes) {}

    /**
     * Read state of a topic.
     *
     * @param available whether the last read was answered
     * @param end offset up to which the topic is known, -1 before the first read
     * @param age time since the start of the last answered read; zero before the first
     */
    public record TopicStatus(boolean available, long end, Duration age) {}
}
