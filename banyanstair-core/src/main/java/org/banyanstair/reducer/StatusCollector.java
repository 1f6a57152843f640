package org.banyanstair.reducer;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstair.membership.Membership;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.PeerMessage;

/** Collects the status of all hosts to answer operators' queries. Not thread-safe. */
final class StatusCollector {
    private final Membership membership;
    private final ReducerSettings settings;
    private final Map<Long, Query> queries = new HashMap<>();

    private static final class Query {
        private final Instant endAt;
        private final int expected;
        private final Map<HostId, PeerMessage.StatusReply> replies = new LinkedHashMap<>();

        Query(Instant endAt, int expected) {
            this.endAt = endAt;
            this.expected = expected;
        }
    }

    StatusCollector(Membership membership, ReducerSettings settings) {
        this.membership = membership;
        this.settings = settings;
    }

    void query(long number, Instant now, Effects effects) {
        List<HostId> asked = new ArrayList<>(membership.otherHosts());
        asked.add(membership.self().host());
        queries.put(number, new Query(now.plus(settings.retryInterval()), asked.size()));
        asked.forEach(host -> effects.send(host, new PeerMessage.StatusRequest(number)));
    }

    void replied(HostId sender, PeerMessage.StatusReply reply, Effects effects) {
        Query query = queries.get(reply.query());
        if (query == null) {
            return;
        }
        query.replies.put(sender, reply);
        if (query.replies.size() >= query.expected) {
            answer(reply.query(), effects);
        }
    }

    private void answer(long number, Effects effects) {
        Query query = queries.remove(number);
        List<EndpointReport> endpoints = query.replies.values().stream()
                .flatMap(reply -> reply.endpoints().stream())
                .toList();
        effects.add(new Effect.AnswerStatus(
                number,
                query.replies.values().stream()
                        .map(PeerMessage.StatusReply::status)
                        .toList(),
                endpoints));
    }

    void tick(Instant now, Effects effects) {
        queries.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().endAt))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(number -> answer(number, effects));
    }
}
