package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;

/**
 * Folds all events of a host that passes requests on to endpoints, and says what to do.
 *
 * <p>Reads no clock and does no I/O. Not safe for use by several threads.
 */
public final class ForwardingReducer {
    /** Time between two reports of what the requests of this host use, in a small deployment. */
    private static final Duration USE_INTERVAL = Duration.ofMillis(30);

    /** Added to the interval of use reports for each peer. */
    private static final Duration USE_INTERVAL_PER_PEER = Duration.ofMillis(4);

    /** Silence after which the requests of a peer are taken to have ended. */
    private static final Duration USE_RETENTION = Duration.ofSeconds(3);

    /** Time between ticks while a request waits; a small part of the shortest objective. */
    private static final Duration WAITING_TICK = Duration.ofMillis(15);

    /** Time between ticks while requests are open, in a small deployment as the one before; half of the time between two reports of what they use. */
    private static final Duration OPEN_TICK = Duration.ofMillis(30);

    /** Time between ticks without requests, well under the pause that counts as having stood still. */
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    /** Time that this host waits for its own read before it asks a peer that has read further. */
    private static final Duration RELAY_DELAY = Duration.ofMillis(400);

    /** Age of the last known read of the claims at which a host asks its peers; above the wait of the one that reads. */
    private static final Duration CLAIMS_AGE = Duration.ofMillis(1500);

    /** The same age in a large deployment, where such questions meet at one host; under half of the time that a claim counts. */
    private static final Duration CLAIMS_AGE_OVER_RELAYS = Duration.ofMillis(3000);

    /** Time between two such questions. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(500);

    /** Time between two looks at which host reads for all; short beside the time in which a host counts as not live. */
    private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Longest time between two events of a process that was not held up. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(600);

    private final Turn turn = new Turn();
    private final ForwardingSettings settings;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMail mail;
    private final ClaimKeeper claims;
    private final RunnerDesk desk;
    private final CrashWatch crashes;
    private final RequestForwarder requests;
    private final Map<Topic, Instant> behindSince = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> furthestEnds = new EnumMap<>(Topic.class);
    private Instant lastEventAt = Instant.MAX;
    private Instant nextStateAt = Instant.MIN;
    private Instant nextReportAt = Instant.MIN;
    private Instant nextConfirmationAt = Instant.MIN;
    private Instant nextReaderCheckAt = Instant.MIN;
    private boolean readsForAll;
    private long confirmations;
    private boolean announced;
    private boolean stopping;

    /**
     * Creates the reducer of one run of a host.
     *
     * @param settings the settings
     * @param decoder reads the records of the platform's topics
     */
    public ForwardingReducer(ForwardingSettings settings, RecordDecoder decoder) {
        this.settings = settings;
        HostId self = settings.identity().host();
        this.view = new PlatformView(turn, decoder);
        this.peers = new PeerTable(settings.announcement());
        this.mail = new PeerMail(turn, settings, peers);
        this.claims = new ClaimKeeper(self, settings.leaseTerm());
        this.desk = new RunnerDesk(turn, settings.identity(), view, peers, mail, claims);
        this.crashes = new CrashWatch(turn, mail);
        this.requests = new RequestForwarder(turn, settings, view, peers, mail, desk, crashes);
    }

    /**
     * Takes an event.
     *
     * @param event the event
     * @param now when it was noticed, on a clock that never goes back
     * @return what to do, in order
     */
    public List<ForwardingEffect> apply(ForwardingEvent event, Instant now) {
        turn.begin(now);
        if (event instanceof ForwardingEvent.ClockGap
                || now.isAfter(lastEventAt)
                        && Duration.between(lastEventAt, now).compareTo(LONGEST_PAUSE) > 0) {
            claims.distrust(now);
            view.follower(Topic.CLAIMS).readAgain(now);
            turn.log(DecisionRecord.important("clock-gap", "since-last-event-ms", millisecondsSinceLastEvent(now)));
        }
        lastEventAt = now;
        applyToRequests(event);
        applyToPlatform(event);
        applyToPeers(event);
        return turn.effects();
    }

    private long millisecondsSinceLastEvent(Instant now) {
        return lastEventAt.equals(Instant.MAX)
                ? 0
                : Duration.between(lastEventAt, now).toMillis();
    }

    private void applyToRequests(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.RequestArrived arrived) {
            requests.arrived(arrived.request());
        } else if (event instanceof ForwardingEvent.FirstOutput output) {
            requests.firstOutput(output.exchange(), output.attempt());
        } else if (event instanceof ForwardingEvent.AttemptEnded ended) {
            requests.ended(ended.exchange(), ended.attempt(), ended.result());
        } else if (event instanceof ForwardingEvent.CallerDisconnected left) {
            requests.callerLeft(left.exchange());
        } else if (event instanceof ForwardingEvent.CommandAnswered answered) {
            desk.answered(answered.command(), answered.result());
            requests.checkWaiting();
        } else if (event instanceof ForwardingEvent.Inspected inspected) {
            desk.inspected(inspected.endpoint(), inspected.state());
            requests.checkWaiting();
        } else if (event instanceof ForwardingEvent.Tick) {
            tick();
        } else if (event instanceof ForwardingEvent.StopRequested) {
            stopping = true;
            nextStateAt = turn.now();
            turn.log(DecisionRecord.important("stopping", "open-requests", requests.size()));
            tick();
        }
    }

    private void applyToPlatform(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.TopicRead read) {
            TopicFollower follower = view.follower(read.topic());
            long before = Math.max(0, follower.end());
            List<TopicRecord> news = view.read(read, new ChangeListener());
            boolean othersDoNotRead = read.topic() == Topic.ENDPOINTS || peers.isLarge();
            if (othersDoNotRead && !news.isEmpty() && readsForAll()) {
                mail.sendToAll(records(follower, before, news, Optional.empty(), 0));
            }
            if (read.topic() == Topic.CLAIMS) {
                claims.read(read.startedAt());
            }
            view.tick();
        } else if (event instanceof ForwardingEvent.TopicExpired expired) {
            view.expired(expired.topic());
            view.tick();
        } else if (event instanceof ForwardingEvent.TopicUnavailable unavailable) {
            view.unavailable(unavailable.topic());
        } else if (event instanceof ForwardingEvent.AppendCompleted appended && appended.topic() == Topic.CLAIMS) {
            claims.appended();
        }
    }

    /** Returns whether this host reads topics for its peers, since each read is paid for. */
    private boolean readsForAll() {
        if (!turn.now().isBefore(nextReaderCheckAt)) {
            nextReaderCheckAt = turn.now().plus(READER_CHECK_INTERVAL);
            List<HostId> readers = peers.firstAtLog(view.reachesLog(), turn.now());
            readsForAll = readers.contains(settings.identity().host());
        }
        return readsForAll;
    }

    private PeerMessage records(
            TopicFollower follower,
            long offset,
            List<TopicRecord> records,
            Optional<Long> askedAtMilliseconds,
            long ageMilliseconds) {
        List<RelayedRecord> relayed = records.stream()
                .map(entry -> new RelayedRecord(
                        entry.key(),
                        entry.value().orElse(new byte[0]),
                        entry.value().isEmpty(),
                        entry.offset()))
                .toList();
        return new PeerMessage.RecordsReply(
                follower.topic(),
                offset,
                relayed,
                follower.end(),
                follower.outageAge(turn.now()).map(Duration::toMillis),
                askedAtMilliseconds,
                ageMilliseconds);
    }

    private void applyToPeers(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.PeerConnected connected) {
            HostId host = connected.peer().host();
            turn.log(DecisionRecord.important("peer-connected", "peer", connected.peer()));
            turn.emit(new ForwardingEffect.SendToPeer(host, state()));
            if (!peers.isLarge()) {
                desk.introduce(host);
            }
        } else if (event instanceof ForwardingEvent.PeerUnreachable unreachable) {
            turn.log(DecisionRecord.important("peer-unreachable", "peer", unreachable.peer()));
        } else if (event instanceof ForwardingEvent.PeerMessageReceived received) {
            mail.heard(received.sender().host());
            received(received.sender().host(), received.message());
        }
    }

    private void received(HostId sender, PeerMessage message) {
        peers.heard(sender, turn.now());
        if (message instanceof PeerMessage.HostState state) {
            announced(state.announcement());
            peers.state(state, turn.now());
            catchUp(sender, Topic.CONFIGURATION);
            catchUp(sender, Topic.ENDPOINTS);
        } else if (message instanceof PeerMessage.Bundle bundle) {
            mail.received(sender, bundle).forEach(news -> news.messages()
                    .forEach(each -> received(news.origin().host(), each)));
        } else if (message instanceof PeerMessage.Routed routed) {
            if (routed.target().equals(settings.identity().host())) {
                received(routed.origin().host(), routed.message());
            } else {
                mail.passOn(routed);
            }
        } else if (message instanceof PeerMessage.UseReport report) {
            requests.ledger().reported(sender, report);
        } else if (message instanceof PeerMessage.HeldRunner held) {
            desk.heard(sender, held);
            requests.checkWaiting();
        } else if (message instanceof PeerMessage.AdapterWanted wanted) {
            desk.wanted(sender, wanted);
        } else if (message instanceof PeerMessage.RecordsRequest request) {
            TopicFollower follower = view.follower(request.topic());
            long age = follower.age(turn.now()).orElse(ClaimKeeper.VALIDITY).toMillis() + 1;
            mail.send(
                    sender,
                    records(
                            follower,
                            request.offset(),
                            follower.recordsFrom(request.offset()),
                            Optional.of(request.askedAtMilliseconds()),
                            age));
        } else if (message instanceof PeerMessage.RecordsReply reply) {
            view.relayed(reply, sender, new ChangeListener());
            if (reply.topic() == Topic.CLAIMS && reply.askedAtMilliseconds().isPresent()) {
                // The peer's read began that long before it answered, which was after this host asked.
                claims.read(Instant.ofEpochMilli(reply.askedAtMilliseconds().get() - reply.ageMilliseconds()));
            }
        } else if (message instanceof PeerMessage.CrashReport report) {
            crashes.reported(report);
        }
    }

    /** Asks a peer that has read further, if this host's own read does not get there. */
    private void catchUp(HostId peer, Topic topic) {
        TopicFollower follower = view.follower(topic);
        long end = peers.find(peer).map(known -> known.offset(topic)).orElse(-1L);
        // One peer that is no further must not end the wait while another one is.
        if (follower.end() >= furthestEnds.merge(topic, end, Math::max)) {
            behindSince.remove(topic);
            return;
        }
        Instant since = behindSince.computeIfAbsent(topic, key -> turn.now());
        boolean peerIsAhead = end > follower.end();
        if (peerIsAhead && (!follower.isAvailable() || turn.now().isAfter(since.plus(RELAY_DELAY)))) {
            askForRecords(peer, follower);
            behindSince.put(topic, turn.now());
        }
    }

    /** Has a peer confirm that no other host has taken a runner over, when this host cannot read the claims itself. */
    private void confirmClaims() {
        TopicFollower follower = view.follower(Topic.CLAIMS);
        Duration limit = peers.isLarge() ? CLAIMS_AGE_OVER_RELAYS : CLAIMS_AGE;
        boolean needed = !claims.own().isEmpty()
                && follower.isKnown()
                && claims.age(turn.now()).compareTo(limit) > 0;
        if (needed && !turn.now().isBefore(nextConfirmationAt)) {
            nextConfirmationAt = turn.now().plus(CONFIRMATION_INTERVAL);
            List<HostId> live = peers.live(turn.now());
            // Every second time another peer, since those that read for all may not reach the log either.
            confirmations++;
            List<HostId> readers = peers.firstAtLog(view.reachesLog(), turn.now());
            HostId peer = confirmations % 2 == 1 && !readers.isEmpty()
                    ? readers.get((int) (confirmations / 2 % readers.size()))
                    : live.get((int) (confirmations / 2 % live.size()));
            if (!peer.equals(settings.identity().host())) {
                askForRecords(peer, follower);
            }
        }
    }

    private void askForRecords(HostId peer, TopicFollower follower) {
        mail.send(
                peer,
                new PeerMessage.RecordsRequest(
                        follower.topic(),
                        Math.max(0, follower.end()),
                        turn.now().toEpochMilli()));
    }

    private void announced(HostAnnouncement announcement) {
        if (peers.announced(announcement, turn.now()) && !peers.isLarge()) {
            turn.emit(new ForwardingEffect.SendToPeer(announcement.host(), state()));
        }
    }

    private PeerMessage state() {
        return new PeerMessage.HostState(
                settings.announcement(),
                stopping,
                view.reachesLog(),
                view.follower(Topic.CONFIGURATION).end(),
                view.follower(Topic.ENDPOINTS).end());
    }

    private void tick() {
        view.setPace(peers.isLarge(), readsForAll());
        view.tick();
        if (!announced && view.follower(Topic.HOSTS).isKnown()) {
            announced = true;
            turn.emit(new ForwardingEffect.AppendAnnouncement(settings.announcement()));
        }
        confirmClaims();
        desk.tick(stopping);
        requests.tick();
        Instant now = turn.now();
        if (!now.isBefore(nextReportAt)) {
            nextReportAt = now.plus(
                    peers.isLarge()
                            ? PeerMail.BUNDLE_INTERVAL
                            : USE_INTERVAL.plus(USE_INTERVAL_PER_PEER.multipliedBy(peers.size())));
            requests.ledger().report();
        }
        if (!now.isBefore(nextStateAt)) {
            nextStateAt = now.plus(peers.stateInterval());
            mail.sendToAll(state());
            forgetSilentPeers();
        }
        mail.tick();
    }

    private void forgetSilentPeers() {
        for (HostId host : peers.all()) {
            if (peers.silence(host, turn.now()).compareTo(USE_RETENTION) > 0) {
                requests.ledger().forget(host);
            }
        }
    }

    /**
     * Returns the time until the next tick is due.
     *
     * @return short while a request waits for something that only the passing of time brings, long while there is none;
     *     twice as long in a large deployment, where each host has few requests and a small processor
     */
    public Duration tickInterval() {
        if (requests.size() == 0) {
            return IDLE_TICK;
        }
        Duration tick = requests.waiting().isEmpty() ? OPEN_TICK : WAITING_TICK;
        return peers.isLarge() ? tick.multipliedBy(2) : tick;
    }

    /**
     * Returns whether this host can serve callers.
     *
     * @return whether it knows a configuration and does not stop
     */
    public boolean isReady() {
        return view.configuration().isPresent() && !stopping;
    }

    /**
     * Returns the number of requests of callers that have not ended.
     *
     * @return the number
     */
    public int openRequests() {
        return requests.size();
    }

    /**
     * Returns what this host has to do and what it believes.
     *
     * @param now present instant
     * @return the status
     */
    public ForwardingStatus status(Instant now) {
        Map<EndpointCondition, Long> endpoints = view.endpoints().stream()
                .collect(Collectors.groupingBy(endpoint -> endpoint.condition(now), Collectors.counting()));
        Map<Topic, ForwardingStatus.TopicStatus> topics = new EnumMap<>(Topic.class);
        for (Topic topic : Topic.values()) {
            TopicFollower follower = view.follower(topic);
            topics.put(
                    topic,
                    new ForwardingStatus.TopicStatus(
                            follower.isAvailable(),
                            follower.end(),
                            follower.age(now).orElse(Duration.ZERO)));
        }
        return new ForwardingStatus(
                requests.size(),
                requests.waiting().size(),
                view.configuration().map(ForwardingConfiguration::version).orElse(-1L),
                endpoints,
                desk.commanded(),
                peers.live(now).size() - 1,
                topics);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty before the first one is known
     */
    public Optional<ForwardingConfiguration> configuration() {
        return view.configuration();
    }

    /**
     * Returns the addresses that callers may use.
     *
     * @param now present instant
     * @return at least one address
     */
    public List<NetworkAddress> callerAddresses(Instant now) {
        return peers.callerAddresses(stopping, now);
    }

    /**
     * Finds the address of a peer.
     *
     * @param host the peer
     * @return its address for other hosts; empty if it is not known
     */
    public Optional<NetworkAddress> peerAddress(HostId host) {
        return peers.find(host).map(peer -> peer.announcement().peers());
    }

    private final class ChangeListener implements PlatformView.Listener {
        @Override
        public void restarted(EndpointState endpoint) {
            desk.restarted(endpoint);
            crashes.unreachable(endpoint);
        }

        @Override
        public void removed(EndpointState endpoint) {
            crashes.unreachable(endpoint);
        }

        @Override
        public void claimed(DecodedRecord.RunnerClaimed claim, long offset) {
            claims.claimed(claim, offset, turn.now());
            turn.log(DecisionRecord.important(
                    "claim",
                    "endpoint",
                    claim.endpoint(),
                    "host",
                    claim.host(),
                    "settled",
                    claim.settled(),
                    "offset",
                    offset));
        }

        @Override
        public void announced(HostAnnouncement announcement) {
            ForwardingReducer.this.announced(announcement);
        }

        @Override
        public void versionNamed(AdapterName adapter, long version) {
            desk.versionNamed(adapter, settings.versionTerm());
        }
    }
}
