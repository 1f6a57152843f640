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
        private final Instant deadline;
        private final int expectedReplies;
        private final Map<HostId, PeerMessage.StatusReply> replies = new LinkedHashMap<>();

        Query(Instant deadline, int expectedReplies) {
            this.deadline = deadline;
            this.expectedReplies = expectedReplies;
        }
    }

    StatusCollector(Membership membership, ReducerSettings settings) {
        this.membership = membership;
        this.settings = settings;
    }

    void query(long queryId, Instant now, Effects effects) {
        List<HostId> hosts = new ArrayList<>(membership.otherHosts());
        hosts.add(membership.self().host());
        queries.put(queryId, new Query(now.plus(settings.retryInterval()), hosts.size()));
        hosts.forEach(host -> effects.send(host, new PeerMessage.StatusRequest(queryId)));
    }

    void replyReceived(HostId sender, PeerMessage.StatusReply reply, Effects effects) {
        Query query = queries.get(reply.query());
        if (query == null) {
            return;
        }
        query.replies.put(sender, reply);
        if (query.replies.size() >= query.expectedReplies) {
            answer(reply.query(), effects);
        }
    }

    private void answer(long queryId, Effects effects) {
        Query query = queries.remove(queryId);
        List<EndpointReport> endpoints = query.replies.values().stream()
                .flatMap(reply -> reply.endpoints().stream())
                .toList();
        effects.add(new Effect.AnswerStatus(
                queryId,
                query.replies.values().stream()
                        .map(PeerMessage.StatusReply::status)
                        .toList(),
                endpoints));
    }

    void tick(Instant now, Effects effects) {
        queries.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().deadline))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(queryId -> answer(queryId, effects));
    }
}
