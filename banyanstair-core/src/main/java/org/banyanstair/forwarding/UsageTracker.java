package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.TeamUsage;

/**
 * Tracks the resources that the requests of all hosts use on the endpoints, and reports those of this host to its
 * peers.
 */
final class UsageTracker {
    /** Interval of complete reports; bounds how long a request counts whose end a peer missed. */
    private static final Duration COMPLETE_INTERVAL = Duration.ofSeconds(3);

    private final EventContext context;
    private final HostId self;
    private final PlatformView view;
    private final PeerMessenger messenger;
    private final RunnerManager runnerManager;
    private final Collection<InFlightRequest> requests;
    private final ReportedState further;
    private final Map<EndpointId, List<Long>> newPrefixes = new HashMap<>();
    private final Map<EndpointId, EndpointUsage> unreported = new TreeMap<>();
    private Instant nextCompleteAt = Instant.MIN;

    /**
     * Creates a tracker.
     *
     * @param requests live view of this host's requests
     * @param further what the reports carry besides usage
     */
    UsageTracker(
            EventContext context,
            HostId self,
            PlatformView view,
            PeerMessenger messenger,
            RunnerManager runnerManager,
            Collection<InFlightRequest> requests,
            ReportedState further) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.messenger = messenger;
        this.runnerManager = runnerManager;
        this.requests = requests;
        this.further = further;
    }

    /** Updates the usage of an endpoint after a change of one of this host's requests there. */
    void update(EndpointState endpoint) {
        EndpointUsage use = useOf(endpoint);
        endpoint.setUse(self, use);
        unreported.put(endpoint.id(), use);
    }

    /** Records the prompt prefixes that were sent to an endpoint. */
    void addPrefixes(EndpointState endpoint, long[] hashes) {
        for (long hash : hashes) {
            endpoint.prefixes().add(hash);
            newPrefixes.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(hash);
        }
    }

    private EndpointUsage useOf(EndpointState endpoint) {
        int running = 0;
        int waitingTokens = 0;
        int cacheTokens = 0;
        List<AdapterName> adapters = new ArrayList<>();
        for (InFlightRequest inFlight : requests) {
            if (inFlight.sent && inFlight.endpoint.filter(endpoint::equals).isPresent()) {
                running++;
                cacheTokens += inFlight.cacheTokens();
                inFlight.request.adapter().ifPresent(adapters::add);
                if (!inFlight.firstOutput && inFlight.service.engine().isPresent()) {
                    waitingTokens += inFlight.uncachedTokens();
                }
            }
        }
        return new EndpointUsage(endpoint.id(), running, waitingTokens, cacheTokens, adapters, List.of());
    }

    /**
     * Reports to peers what has changed since the last report, and periodically everything, for peers that missed a
     * report.
     */
    void report() {
        boolean complete = !context.now().isBefore(nextCompleteAt);
        if (complete) {
            nextCompleteAt = context.now().plus(COMPLETE_INTERVAL);
            view.endpoints().forEach(endpoint -> {
                EndpointUsage use = useOf(endpoint);
                if (use.running() > 0) {
                    unreported.put(endpoint.id(), use);
                }
            });
        }
        List<TeamUsage> teamUsages = further.teams().report(complete);
        List<BegunStreams> streams = further.streams().report(complete);
        if (unreported.isEmpty() && teamUsages.isEmpty() && streams.isEmpty() && !complete) {
            return;
        }
        List<EndpointUsage> uses = unreported.values().stream()
                .map(use -> new EndpointUsage(
                        use.endpoint(),
                        use.running(),
                        use.waitingTokens(),
                        use.cacheTokens(),
                        use.adapters(),
                        newPrefixes.getOrDefault(use.endpoint(), List.of())))
                .toList();
        unreported.clear();
        newPrefixes.clear();
        messenger.broadcast(new PeerMessage.UseReport(uses, complete, teamUsages, streams));
    }

    /** Applies the usage report of a peer. */
    void applyReport(HostId sender, PeerMessage.UseReport message) {
        further.teams().applyReport(sender, message.teams());
        further.streams().reported(message.streams());
        if (message.complete()) {
            Set<EndpointId> used =
                    message.uses().stream().map(EndpointUsage::endpoint).collect(Collectors.toSet());
            view.endpoints().stream()
                    .filter(endpoint -> !used.contains(endpoint.id()))
                    .forEach(endpoint -> endpoint.removeUse(sender));
        }
        for (EndpointUsage use : message.uses()) {
            view.endpoint(use.endpoint()).ifPresent(endpoint -> endpoint.setUse(sender, use)
                    .forEach(adapter -> runnerManager.recordUse(endpoint, adapter)));
        }
    }

    /** Removes the usage of a peer that has been silent for long, whose requests are assumed to have ended. */
    void removePeer(HostId peer) {
        view.endpoints().forEach(endpoint -> endpoint.removeUse(peer));
    }
}
