package org.banyanstair.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointUse;
import org.banyanstair.peer.PeerMessage;

/** What the requests of all hosts use at the endpoints; those of this host are reported to its peers. */
final class UseLedger {
    private final HostId self;
    private final PlatformView view;
    private final PeerTable peers;
    private final RunnerDesk desk;
    private final Collection<Forwarding> open;
    private final Map<EndpointId, List<Long>> newPrefixes = new HashMap<>();
    private final Map<EndpointId, EndpointUse> unreported = new TreeMap<>();

    /**
     * Creates a ledger.
     *
     * @param open the requests of this host, as they are at each call
     */
    UseLedger(HostId self, PlatformView view, PeerTable peers, RunnerDesk desk, Collection<Forwarding> open) {
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.desk = desk;
        this.open = open;
    }

    /** A request of this host began, went on or ended at an endpoint. */
    void changed(EndpointState endpoint) {
        EndpointUse use = useOf(endpoint);
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

    private EndpointUse useOf(EndpointState endpoint) {
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
        return new EndpointUse(endpoint.id(), running, waitingTokens, cacheTokens, adapters, List.of());
    }

    /** Tells peers what has changed since the last report. */
    void report() {
        if (unreported.isEmpty()) {
            return;
        }
        List<EndpointUse> uses = unreported.values().stream()
                .map(use -> new EndpointUse(
                        use.endpoint(),
                        use.running(),
                        use.waitingTokens(),
                        use.cacheTokens(),
                        use.adapters(),
                        newPrefixes.getOrDefault(use.endpoint(), List.of())))
                .toList();
        unreported.clear();
        newPrefixes.clear();
        peers.sendToAll(new PeerMessage.UseReport(uses));
    }

    /** Takes what the requests of a peer use. */
    void reported(HostId sender, PeerMessage.UseReport message) {
        for (EndpointUse use : message.uses()) {
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
