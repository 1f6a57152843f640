package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.PeerMessage;

/** What the requests of all hosts use at the endpoints; those of this host are reported to its peers. */
final class UseLedger {
    /** Time between two reports of all that is used; a missed end of a request counts no longer than that. */
    private static final Duration COMPLETE_INTERVAL = Duration.ofSeconds(3);

    private final Turn turn;
    private final HostId self;
    private final PlatformView view;
    private final PeerMail mail;
    private final RunnerDesk desk;
    private final Collection<Forwarding> open;
    private final Map<EndpointId, List<Long>> newPrefixes = new HashMap<>();
    private final Map<EndpointId, EndpointUsage> unreported = new TreeMap<>();
    private Instant nextCompleteAt = Instant.MIN;

    /**
     * Creates a ledger.
     *
     * @param open the requests of this host, as they are at each call
     */
    UseLedger(Turn turn, HostId self, PlatformView view, PeerMail mail, RunnerDesk desk, Collection<Forwarding> open) {
        this.turn = turn;
        this.self = self;
        this.view = view;
        this.mail = mail;
        this.desk = desk;
        this.open = open;
    }

    /** A request of this host began, went on or ended at an endpoint. */
    void changed(EndpointState endpoint) {
        EndpointUsage use = useOf(endpoint);
        endpoint.setUse(self, use);
        unreported.put(endpoint.id(), use);
    }

    /** Prompt prefixes were sent to an endpoint. */
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
        for (Forwarding forwarding : open) {
            if (forwarding.sent && forwarding.endpoint.filter(endpoint::equals).isPresent()) {
                running++;
                cacheTokens += forwarding.cacheTokens();
                forwarding.request.adapter().ifPresent(adapters::add);
                if (!forwarding.firstOutput && forwarding.service.engine().isPresent()) {
                    waitingTokens += forwarding.ownTokens();
                }
            }
        }
        return new EndpointUsage(endpoint.id(), running, waitingTokens, cacheTokens, adapters, List.of());
    }

    /** Tells peers what has changed since the last report, and all of it now and then for those that missed one. */
    void report() {
        boolean complete = !turn.now().isBefore(nextCompleteAt);
        if (complete) {
            nextCompleteAt = turn.now().plus(COMPLETE_INTERVAL);
            view.endpoints().forEach(endpoint -> {
                EndpointUsage use = useOf(endpoint);
                if (use.running() > 0) {
                    unreported.put(endpoint.id(), use);
                }
            });
        }
        if (unreported.isEmpty() && !complete) {
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
        mail.sendToAll(new PeerMessage.UseReport(uses, complete));
    }

    /** Takes what the requests of a peer use. */
    void reported(HostId sender, PeerMessage.UseReport message) {
        if (message.complete()) {
            forget(sender);
        }
        for (EndpointUsage use : message.uses()) {
            view.endpoint(use.endpoint()).ifPresent(endpoint -> {
                endpoint.setUse(sender, use);
                use.adapters().forEach(adapter -> desk.countUse(endpoint, adapter));
            });
        }
    }

    /** The requests of a peer that has been silent for long are taken to have ended. */
    void forget(HostId peer) {
        view.endpoints().forEach(endpoint -> endpoint.forgetUse(peer));
    }
}
