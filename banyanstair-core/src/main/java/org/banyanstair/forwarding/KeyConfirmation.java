package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.teams.KnowledgeAge;
import org.banyanstair.teams.KnowledgeSource;
import org.banyanstair.teams.TeamSettings;

/**
 * Decides whether this host may accept keys under strict revocation, and keeps its knowledge of them confirmed by reads
 * of the log and by peers.
 *
 * <p>Without strict revocation, or without teams, keys are always accepted and nothing is read or sent.
 */
final class KeyConfirmation {
    /** Longest wait of a read of the configuration. */
    private static final Duration MAXIMUM_READ_WAIT = Duration.ofMillis(900);

    /**
     * Part of the revocation term for which a read of the configuration waits: a read confirms its start, so knowledge
     * is up to two waits old before the next read ends. With the time between queries that is two thirds of the term.
     */
    private static final double READ_WAIT_SHARE = 0.15;

    /** Part of the revocation term for which knowledge may be used; the rest covers short suspensions. */
    private static final double USABLE_SHARE = 0.9;

    /** Number of queries in a revocation term to a peer that responds. */
    private static final int QUERIES_PER_TERM = 3;

    /** Number of queries in a revocation term while no response confirms the knowledge. */
    private static final int REPEATED_QUERIES_PER_TERM = 12;

    /** Queries in a row to hosts that read for their peers, before one to any peer, as those may have lost the log. */
    private static final int QUERIES_TO_READERS = 2;

    /** Reported age of unknown knowledge; longer than any revocation term, so that it confirms nothing. */
    private static final Duration UNKNOWN_AGE = Duration.ofDays(365);

    private final EventContext context;
    private final HostIdentity self;
    private final TeamSettings terms;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMessenger messenger;
    private final KnowledgeAge knowledge = new KnowledgeAge();
    private final Map<Long, Query> queries = new HashMap<>();
    private Instant confirmationAskedAt = Instant.MIN;
    private Instant nextQueryAt = Instant.MIN;
    private Instant nextOwnReadAt = Instant.MIN;
    private int unansweredQueries;
    private boolean accepting;
    private boolean suspended;

    private record Query(HostId peer, Instant sentAt) {}

    KeyConfirmation(
            EventContext context,
            ForwardingSettings settings,
            PlatformView view,
            PeerTable peers,
            PeerMessenger messenger) {
        this.context = context;
        this.self = settings.identity();
        this.terms = settings.teams();
        this.view = view;
        this.peers = peers;
        this.messenger = messenger;
    }

    /** Returns whether the use of keys depends on the age of the knowledge. */
    private boolean isRequired() {
        return terms.strictRevocation()
                && view.configuration()
                        .filter(configuration -> !configuration.teams().isEmpty())
                        .isPresent();
    }

    /** Returns whether this host may accept a key that is in its configuration now. */
    boolean mayAcceptKeys() {
        if (!isRequired()) {
            return true;
        }
        updateAccepting();
        return accepting;
    }

    /** Returns the wait of reads of the configuration if they confirm keys; empty for the usual wait. */
    Optional<Duration> readWait() {
        Duration wait = share(READ_WAIT_SHARE);
        return isRequired()
                ? Optional.of(wait.compareTo(MAXIMUM_READ_WAIT) < 0 ? wait : MAXIMUM_READ_WAIT)
                : Optional.empty();
    }

    /** Applies a completed read of a topic, after its records. */
    void readCompleted(ForwardingEvent.TopicRead read) {
        if (read.topic() == Topic.CONFIGURATION && terms.strictRevocation()) {
            knowledge.confirmByLog(read.startedAt());
            recordConfirmation(read.startedAt());
        }
    }

    /** Applies the response of a peer, after its records. */
    void replyReceived(HostId sender, PeerMessage.RecordsReply reply) {
        if (reply.topic() != Topic.CONFIGURATION || reply.askedAtMilliseconds().isEmpty()) {
            return;
        }
        if (reply.era() != view.eras().newest()
                || !view.consumer(Topic.CONFIGURATION).isCurrent()) {
            // The records of another era have not been applied.
            return;
        }
        Query query = queries.get(reply.askedAtMilliseconds().get());
        boolean isUpToDate = !view.consumer(Topic.CONFIGURATION).end().isBefore(reply.endPosition());
        if (query != null && query.peer().equals(sender) && isUpToDate) {
            queries.remove(reply.askedAtMilliseconds().get());
            knowledge.confirmByPeer(query.sentAt(), Duration.ofMillis(reply.ageMilliseconds()));
            recordConfirmation(query.sentAt());
        }
    }

    /** Records when the latest confirmation was asked for, unless it is too old to rely on until the next query. */
    private void recordConfirmation(Instant askedAt) {
        if (askedAt.isAfter(confirmationAskedAt)
                && knowledge.isYoungerThan(terms.revocationTerm().dividedBy(2), context.now())) {
            confirmationAskedAt = askedAt;
            unansweredQueries = 0;
        }
        if (isRequired()) {
            updateAccepting();
        }
    }

    /** Returns the age to report to a peer that asks for records of a topic; empty if it is that of the last read. */
    Optional<Duration> reportedAge(Topic topic) {
        return topic == Topic.CONFIGURATION && terms.strictRevocation()
                ? Optional.of(knowledge.age(context.now()).orElse(UNKNOWN_AGE))
                : Optional.empty();
    }

    /** Discards the knowledge after a suspension of the process, and what was asked before. */
    void invalidate() {
        knowledge.invalidate(context.now());
        queries.clear();
        confirmationAskedAt = Instant.MIN;
        nextQueryAt = Instant.MIN;
        nextOwnReadAt = Instant.MIN;
        suspended = true;
        if (isRequired()) {
            view.consumer(Topic.CONFIGURATION).restartRead(context.now());
            updateAccepting();
        }
    }

    /**
     * Asks for confirmation when it is due.
     *
     * @param readsLog whether this host reads the log continuously
     */
    void tick(boolean readsLog) {
        if (!isRequired()) {
            return;
        }
        updateAccepting();
        Instant now = context.now();
        queries.values()
                .removeIf(query -> query.sentAt().plus(terms.revocationTerm()).isBefore(now));
        TopicConsumer consumer = view.consumer(Topic.CONFIGURATION);
        boolean readIsLate = isConfirmationOlderThan(terms.revocationTerm().dividedBy(2));
        boolean queryIsDue = readsLog && consumer.isAvailable()
                ? readIsLate
                : isConfirmationOlderThan(terms.revocationTerm().dividedBy(QUERIES_PER_TERM));
        if (queryIsDue && !now.isBefore(nextQueryAt)) {
            nextQueryAt = now.plus(terms.revocationTerm().dividedBy(REPEATED_QUERIES_PER_TERM));
            selectPeer().ifPresent(this::query);
        }
        // A consumer whose last read failed repeats it by itself.
        if (!readsLog && readIsLate && consumer.isAvailable() && !now.isBefore(nextOwnReadAt)) {
            nextOwnReadAt = now.plus(terms.revocationTerm().dividedBy(QUERIES_PER_TERM));
            consumer.readImmediately(now);
        }
    }

    private boolean isConfirmationOlderThan(Duration limit) {
        return confirmationAskedAt.equals(Instant.MIN) || !context.now().isBefore(confirmationAskedAt.plus(limit));
    }

    /** Selects the host to ask: of those that read for their peers first, another one each time. */
    private Optional<HostId> selectPeer() {
        List<HostId> readers = withoutSelf(peers.logReaders(view.reachesLog(), context.now()));
        List<HostId> candidates =
                readers.isEmpty() || unansweredQueries % (QUERIES_TO_READERS + 1) == QUERIES_TO_READERS
                        ? withoutSelf(peers.live(context.now()))
                        : readers;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        // Hosts start at different places, so that they do not all ask the same one.
        int index = Math.floorMod(self.host().hashCode() + unansweredQueries, candidates.size());
        return Optional.of(candidates.get(index));
    }

    private List<HostId> withoutSelf(List<HostId> hosts) {
        List<HostId> others = new ArrayList<>(hosts);
        others.remove(self.host());
        return others;
    }

    private void query(HostId peer) {
        unansweredQueries++;
        // With the incarnation, a response to an earlier process of this host matches no query of this one.
        long number = self.incarnation() + context.now().toEpochMilli();
        queries.put(number, new Query(peer, context.now()));
        LogPosition from = view.consumer(Topic.CONFIGURATION).end().orFirst();
        messenger.send(peer, new PeerMessage.RecordsRequest(Topic.CONFIGURATION, from, number));
    }

    private void updateAccepting() {
        boolean confirmed = knowledge.isYoungerThan(share(USABLE_SHARE), context.now());
        if (confirmed == accepting) {
            return;
        }
        accepting = confirmed;
        long age = knowledge.age(context.now()).map(Duration::toMillis).orElse(-1L);
        String source = knowledge.source().map(KnowledgeSource::name).orElse("");
        if (confirmed) {
            suspended = false;
            context.log(DecisionRecord.important("keys-confirmed", "age-ms", age, "source", source));
        } else {
            context.log(DecisionRecord.important(
                    "keys-unconfirmed", "age-ms", age, "source", source, "reason", lossReason()));
        }
    }

    private String lossReason() {
        if (suspended) {
            return "suspended";
        }
        return view.consumer(Topic.CONFIGURATION).isAvailable() ? "confirmations-late" : "log-unavailable";
    }

    private Duration share(double share) {
        return Duration.ofMillis((long) (terms.revocationTerm().toMillis() * share));
    }

    ForwardingStatus.KeyStatus status(Instant now) {
        return new ForwardingStatus.KeyStatus(
                !isRequired() || knowledge.isYoungerThan(share(USABLE_SHARE), now),
                knowledge.age(now),
                knowledge.source());
    }
}
