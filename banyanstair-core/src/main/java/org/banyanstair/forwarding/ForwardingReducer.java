package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.history.OwedRecord;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LostReport;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;

/**
 * Applies all events of a forwarding host and returns the resulting actions.
 *
 * <p>Reads no clock and does no I/O. Not thread-safe.
 */
public final class ForwardingReducer {
    /** Silence after which the requests of a peer are assumed to have ended. */
    private static final Duration USE_RETENTION = Duration.ofSeconds(3);

    /** Time between ticks while a request waits for an adapter; a small part of the shortest objective. */
    private static final Duration WAITING_TICK = Duration.ofMillis(15);

    /**
     * Time between ticks while requests are in flight, not longer than the interval of usage reports; like the one
     * above, for a small deployment.
     */
    private static final Duration IN_FLIGHT_TICK = Duration.ofMillis(30);

    /** Time between ticks after a late one, until it is known again when requests arrive. */
    private static final Duration CATCH_UP_TICK = Duration.ofMillis(1);

    /** Time between ticks without requests; well below the gap that counts as a suspension of the process. */
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    /** Time for which this host waits for its own read before it requests records from a peer that has read further. */
    private static final Duration RELAY_DELAY = Duration.ofMillis(400);

    /**
     * Staleness of the claims at which a host requests them from a peer; above the wait of the host that reads the
     * topic.
     */
    private static final Duration MAXIMUM_CLAIMS_AGE = Duration.ofMillis(1500);

    /**
     * The same limit in a large deployment, where such requests meet at few hosts; less than half of the lease
     * validity.
     */
    private static final Duration MAXIMUM_CLAIMS_AGE_WITH_RELAYS = Duration.ofMillis(3000);

    /** Time between two requests for claims. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(500);

    /** Interval between requests for records that the restored log lacks; a lost request is repeated after it. */
    private static final Duration LOST_REQUEST_INTERVAL = Duration.ofMillis(500);

    /**
     * Time between two checks of which hosts read for their peers; short compared to the time after which a host counts
     * as not live.
     */
    private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Time after a restore of the log before a host writes again what it lacks, so that it has read the log. */
    private static final Duration REWRITE_DELAY = Duration.ofMillis(500);

    /** Time over which hosts spread what they write again. */
    private static final Duration MAXIMUM_REWRITE_SPREAD = Duration.ofSeconds(1);

    /** Gap between two events above which the process counts as having been suspended. */
    private static final Duration MAXIMUM_EVENT_GAP = Duration.ofMillis(600);

    private final EventContext context = new EventContext();
    private final ForwardingSettings settings;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMessenger messenger;
    private final LeaseManager leases;
    private final KeyConfirmation keys;
    private final RunnerManager runnerManager;
    private final RefusalRegistry refusals;
    private final CrashDetector crashDetector;
    private final RequestForwarder forwarder;
    private final Map<Topic, Instant> behindSince = new EnumMap<>(Topic.class);
    private final Map<Topic, LogPosition> furthestEnds = new EnumMap<>(Topic.class);
    private Instant lastEventAt = Instant.MAX;
    private Instant nextStateAt = Instant.MIN;
    private Instant nextUseReportAt = Instant.MIN;
    private Instant nextConfirmationAt = Instant.MIN;
    private Instant nextLostRequestAt = Instant.MIN;
    private Instant nextReaderCheckAt = Instant.MIN;
    private boolean readsForPeers;
    private long confirmationRequests;
    private final OwedRecord ownAnnouncement = new OwedRecord();
    private boolean stopping;

    /** Creates the reducer of one run of a host. */
    public ForwardingReducer(ForwardingSettings settings, RecordDecoder decoder) {
        this.settings = settings;
        HostId self = settings.identity().host();
        this.view = new PlatformView(context, decoder, self);
        this.peers = new PeerTable(settings.announcement());
        this.messenger = new PeerMessenger(context, settings, peers);
        this.leases = new LeaseManager(self, settings.leaseTerm(), settings.systemStarts());
        this.runnerManager = new RunnerManager(context, settings.identity(), view, peers, messenger, leases);
        this.refusals = new RefusalRegistry(context);
        this.crashDetector = new CrashDetector(context, view, messenger, refusals);
        this.forwarder = new RequestForwarder(context, settings, view, peers, messenger, runnerManager, crashDetector);
        this.keys = forwarder.keys();
    }

    /**
     * Applies an event and returns the actions to execute, in order.
     *
     * @param now when the event was noticed, on a monotonic clock
     */
    public List<ForwardingEffect> apply(ForwardingEvent event, Instant now) {
        context.begin(now);
        if (event instanceof ForwardingEvent.ClockGap
                || now.isAfter(lastEventAt)
                        && Duration.between(lastEventAt, now).compareTo(MAXIMUM_EVENT_GAP) > 0) {
            leases.invalidate(now);
            forwarder.teamAdmission().suspended();
            forwarder.streamVersions().suspended();
            view.consumer(Topic.CLAIMS).restartRead(now);
            view.resumed();
            keys.invalidate();
            context.log(DecisionRecord.important("clock-gap", "since-last-event-ms", millisecondsSinceLastEvent(now)));
        }
        lastEventAt = now;
        applyToRequests(event);
        applyToPlatform(event);
        applyToPeers(event);
        return context.effects();
    }

    private long millisecondsSinceLastEvent(Instant now) {
        return lastEventAt.equals(Instant.MAX)
                ? 0
                : Duration.between(lastEventAt, now).toMillis();
    }

    private void applyToRequests(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.RequestArrived arrived) {
            forwarder.requestArrived(arrived.request(), arrived.arrivedAt().orElse(context.now()));
        } else if (event instanceof ForwardingEvent.FirstOutput output) {
            forwarder.firstOutput(output.exchange(), output.attempt());
        } else if (event instanceof ForwardingEvent.AttemptEnded ended) {
            forwarder.attemptEnded(ended.exchange(), ended.attempt(), ended.result());
        } else if (event instanceof ForwardingEvent.EndpointNoticeReceived received) {
            forwarder.noticeReceived(received.endpoint(), received.sentAt(), received.notice());
        } else if (event instanceof ForwardingEvent.CallerDisconnected left) {
            forwarder.callerDisconnected(left.exchange());
        } else if (event instanceof ForwardingEvent.ConnectionRefused refused) {
            crashDetector.connectionRefused(refused);
        } else if (event instanceof ForwardingEvent.CommandAnswered answered) {
            runnerManager.commandAnswered(answered.command(), answered.result());
            forwarder.advanceWaiting();
        } else if (event instanceof ForwardingEvent.Inspected inspected) {
            runnerManager.inspected(inspected.endpoint(), inspected.state());
            forwarder.advanceWaiting();
        } else if (event instanceof ForwardingEvent.Tick) {
            tick();
        } else if (event instanceof ForwardingEvent.StopRequested stop) {
            stopping = true;
            forwarder.startStop(stop.schedule());
            nextStateAt = context.now();
            context.log(DecisionRecord.important("stopping", "open-requests", forwarder.size()));
            tick();
        } else if (event instanceof ForwardingEvent.StopDeadlineReached) {
            forwarder.endAll();
        }
    }

    private void applyToPlatform(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.TopicRead read) {
            TopicConsumer consumer = view.consumer(read.topic());
            LogPosition previousEnd = consumer.end();
            List<TopicRecord> newRecords = view.applyRead(read, new ChangeListener());
            boolean peersRelyOnRelay = read.topic() == Topic.ENDPOINTS || peers.isLargeDeployment();
            if (peersRelyOnRelay && !newRecords.isEmpty() && readsForPeers()) {
                LogPosition from = consumer.completeFrom(previousEnd).orFirst();
                messenger.broadcast(recordsReply(consumer, from, newRecords, Optional.empty(), 0));
            }
            if (read.end().era() == view.eras().newest() && consumer.isCurrent()) {
                if (read.topic() == Topic.CLAIMS) {
                    leases.confirm(read.startedAt());
                }
                keys.readCompleted(read);
            }
            view.tick(new ChangeListener());
        } else if (event instanceof ForwardingEvent.TopicExpired expired) {
            view.expired(expired.topic());
            view.tick(new ChangeListener());
        } else if (event instanceof ForwardingEvent.TopicUnavailable unavailable) {
            view.unavailable(unavailable.topic());
        } else if (event instanceof ForwardingEvent.LogEraObserved observed) {
            view.observeEra(observed.era(), Optional.empty(), new ChangeListener());
            view.tick(new ChangeListener());
        } else if (event instanceof ForwardingEvent.LogCallTimedOut) {
            context.log(DecisionRecord.important("log-call-timed-out"));
            view.restartWaitingReads();
            view.tick(new ChangeListener());
        } else if (event instanceof ForwardingEvent.AppendCompleted appended) {
            if (appended.topic() == Topic.CLAIMS) {
                leases.appendCompleted();
            } else if (appended.topic() == Topic.STREAMS) {
                forwarder.streamVersions().appendCompleted();
            }
        }
    }

    /** Returns whether this host reads topics for its peers; reads of the log are billed, so only a few hosts read. */
    private boolean readsForPeers() {
        if (!context.now().isBefore(nextReaderCheckAt)) {
            nextReaderCheckAt = context.now().plus(READER_CHECK_INTERVAL);
            List<HostId> readers = peers.logReaders(view.reachesLog(), context.now());
            readsForPeers = readers.contains(settings.identity().host());
        }
        return readsForPeers;
    }

    /** Returns whether this host is the one that records in the log what all hosts know. */
    private boolean recordsForPeers() {
        Optional<HostId> recorder = readsForPeers()
                ? peers.logReaders(view.reachesLog(), context.now()).stream().findFirst()
                : Optional.empty();
        return recorder.filter(settings.identity().host()::equals).isPresent();
    }

    private PeerMessage recordsReply(
            TopicConsumer consumer,
            LogPosition from,
            List<TopicRecord> records,
            Optional<Long> askedAtMilliseconds,
            long ageMilliseconds) {
        return new PeerMessage.RecordsReply(
                consumer.topic(),
                from.offset(),
                consumer.end().era(),
                relayed(records),
                consumer.end().offset(),
                consumer.outageAge(context.now()).map(Duration::toMillis),
                askedAtMilliseconds,
                ageMilliseconds,
                askedAtMilliseconds.flatMap(asked -> lostReport(consumer)));
    }

    private static List<RelayedRecord> relayed(Collection<TopicRecord> records) {
        return records.stream()
                .map(entry -> new RelayedRecord(
                        entry.key(),
                        entry.value().orElse(new byte[0]),
                        entry.value().isEmpty(),
                        entry.position().offset()))
                .toList();
    }

    /** Returns the records of a topic that the restored log lacks; empty if there are none. */
    private static Optional<LostReport> lostReport(TopicConsumer consumer) {
        LogPosition end = consumer.lost().end();
        List<RelayedRecord> records = relayed(consumer.lost().all());
        return records.isEmpty() ? Optional.empty() : Optional.of(new LostReport(end.era(), end.offset(), records));
    }

    private void applyToPeers(ForwardingEvent event) {
        if (event instanceof ForwardingEvent.PeerConnected connected) {
            HostId host = connected.peer().host();
            context.log(DecisionRecord.important("peer-connected", "peer", connected.peer()));
            context.emit(new ForwardingEffect.SendToPeer(host, hostState(true)));
            if (!peers.isLargeDeployment()) {
                runnerManager.sendRunnerStates(host);
            }
        } else if (event instanceof ForwardingEvent.PeerUnreachable unreachable) {
            context.log(DecisionRecord.important("peer-unreachable", "peer", unreachable.peer()));
        } else if (event instanceof ForwardingEvent.PeerMessageReceived received) {
            messenger.recordContact(received.sender().host());
            receive(received.sender().host(), received.message());
        }
    }

    private void receive(HostId sender, PeerMessage message) {
        peers.recordContact(sender, context.now());
        forwarder.teamAdmission().heardFrom(sender);
        if (message instanceof PeerMessage.HostState state) {
            applyAnnouncement(state.announcement());
            peers.recordState(state, context.now());
            view.observePeerEra(state.logEra(), sender, new ChangeListener());
            leases.eraKnownByPeer(state.logEra(), state.logEraSettled(), state.logEraRestored());
            runnerManager.applyObservedLoads(
                    new HostIdentity(sender, state.announcement().incarnation()), state.loads());
            refusals.partsReported(sender, state.parts());
            refusals.requestsReported(sender, state.requests());
            forwarder.limits().limitsReported(sender, state.limits());
            catchUp(sender, Topic.CONFIGURATION);
            catchUp(sender, Topic.ENDPOINTS);
            learnLostRecords(sender, state);
        } else if (message instanceof PeerMessage.Bundle bundle) {
            messenger.receive(sender, bundle).forEach(broadcast -> broadcast
                    .messages()
                    .forEach(each -> receive(broadcast.origin().host(), each)));
        } else if (message instanceof PeerMessage.Routed routed) {
            if (routed.target().equals(settings.identity().host())) {
                receive(routed.origin().host(), routed.message());
            } else {
                messenger.relay(routed);
            }
        } else if (message instanceof PeerMessage.UseReport report) {
            forwarder.usage().applyReport(sender, report);
            forwarder.usageReported();
        } else if (message instanceof PeerMessage.HeldRunner held) {
            runnerManager.runnerStateReceived(sender, held);
            forwarder.advanceWaiting();
        } else if (message instanceof PeerMessage.AdapterWanted wanted) {
            runnerManager.loadRequested(sender, wanted);
        } else if (message instanceof PeerMessage.RecordsRequest request) {
            view.observePeerEra(request.era(), sender, new ChangeListener());
            TopicConsumer consumer = view.consumer(request.topic());
            long age = keys.reportedAge(request.topic())
                            .orElseGet(() -> consumer.age(context.now()).orElse(LeaseManager.VALIDITY))
                            .toMillis()
                    + 1;
            messenger.send(
                    sender,
                    recordsReply(
                            consumer,
                            consumer.completeFrom(request.from()),
                            consumer.recordsFrom(request.from()),
                            Optional.of(request.askedAtMilliseconds()),
                            age));
        } else if (message instanceof PeerMessage.RecordsReply reply) {
            view.applyRelayed(reply, sender, new ChangeListener());
            keys.replyReceived(sender, reply);
            boolean isCurrent = reply.era() == view.eras().newest()
                    && view.consumer(reply.topic()).isCurrent();
            if (isCurrent
                    && reply.topic() == Topic.CLAIMS
                    && reply.askedAtMilliseconds().isPresent()) {
                // The age is that of the peer's read when it answered, after this host's request, so this is not later
                // than the start of that read.
                leases.confirm(Instant.ofEpochMilli(reply.askedAtMilliseconds().get() - reply.ageMilliseconds()));
            }
        } else if (message instanceof PeerMessage.CrashReport report) {
            crashDetector.crashReported(sender, report);
        } else if (message instanceof PeerMessage.LoanRequest request) {
            forwarder.limits().lend(sender, request);
        } else if (message instanceof PeerMessage.LoanGranted granted) {
            forwarder.limits().loanGranted(sender, granted);
            forwarder.loanAnswered(granted.id());
        } else if (message instanceof PeerMessage.LoanRefused refused) {
            forwarder.limits().loanRefused(sender, refused);
            forwarder.loanAnswered(refused.id());
        }
    }

    /** Requests records from a peer that has read further, if this host's own read does not catch up. */
    private void catchUp(HostId peer, Topic topic) {
        TopicConsumer consumer = view.consumer(topic);
        LogPosition end = peers.find(peer).map(known -> known.end(topic)).orElse(LogPosition.UNREAD);
        LogPosition furthest = furthestEnds.merge(topic, end, (left, right) -> left.isAfter(right) ? left : right);
        // A peer that has not read further must not end the wait while another one has.
        if (!consumer.end().isBefore(furthest)) {
            behindSince.remove(topic);
            return;
        }
        Instant since = behindSince.computeIfAbsent(topic, key -> context.now());
        boolean peerIsAhead = end.isAfter(consumer.end());
        if (peerIsAhead && (!consumer.isAvailable() || context.now().isAfter(since.plus(RELAY_DELAY)))) {
            requestRecords(peer, consumer);
            behindSince.put(topic, context.now());
        }
    }

    /** Requests what the restored log lacks from a peer that had read further before than this host, or an earlier one. */
    private void learnLostRecords(HostId peer, PeerMessage.HostState state) {
        TopicConsumer consumer = view.consumer(Topic.CONFIGURATION);
        boolean knowsMore = state.lostEnd() > 0
                && state.lostEndPosition().isAfter(consumer.lost().end());
        if (knowsMore && consumer.isCurrent() && !context.now().isBefore(nextLostRequestAt)) {
            nextLostRequestAt = context.now().plus(LOST_REQUEST_INTERVAL);
            requestRecords(peer, consumer);
        }
    }

    /**
     * Requests the claims from a peer when this host cannot read them itself, to confirm that no other host has taken a
     * runner over.
     */
    private void confirmClaims() {
        TopicConsumer consumer = view.consumer(Topic.CLAIMS);
        Duration limit = peers.isLargeDeployment() ? MAXIMUM_CLAIMS_AGE_WITH_RELAYS : MAXIMUM_CLAIMS_AGE;
        boolean needed = !leases.claimedRunners().isEmpty()
                && consumer.hasBeenRead()
                && leases.confirmationAge(context.now()).compareTo(limit) > 0;
        if (needed && !context.now().isBefore(nextConfirmationAt)) {
            nextConfirmationAt = context.now().plus(CONFIRMATION_INTERVAL);
            List<HostId> live = peers.live(context.now());
            // Every second request goes to an arbitrary peer, since the hosts that read for others may have lost the
            // log too.
            confirmationRequests++;
            List<HostId> readers = peers.logReaders(view.reachesLog(), context.now());
            HostId peer = confirmationRequests % 2 == 1 && !readers.isEmpty()
                    ? readers.get((int) (confirmationRequests / 2 % readers.size()))
                    : live.get((int) (confirmationRequests / 2 % live.size()));
            if (!peer.equals(settings.identity().host())) {
                requestRecords(peer, consumer);
            }
        }
    }

    private void requestRecords(HostId peer, TopicConsumer consumer) {
        messenger.send(
                peer,
                new PeerMessage.RecordsRequest(
                        consumer.topic(),
                        consumer.end().orFirst(),
                        context.now().toEpochMilli()));
    }

    private Duration rewriteSpread() {
        int spread = Math.floorMod(settings.identity().host().hashCode(), (int) MAXIMUM_REWRITE_SPREAD.toMillis());
        return Duration.ofMillis(spread);
    }

    private void applyAnnouncement(HostAnnouncement announcement) {
        if (peers.update(announcement, context.now()) && !peers.isLargeDeployment()) {
            context.emit(new ForwardingEffect.SendToPeer(announcement.host(), hostState(true)));
        }
    }

    private PeerMessage hostState(boolean complete) {
        LogPosition configurationEnd = view.consumer(Topic.CONFIGURATION).end();
        LogPosition endpointsEnd = view.consumer(Topic.ENDPOINTS).end();
        LogPosition lostEnd = lostReport(view.consumer(Topic.CONFIGURATION))
                .map(LostReport::endPosition)
                .orElse(LogPosition.startOf(0));
        return new PeerMessage.HostState(
                settings.announcement(),
                stopping,
                view.reachesLog(),
                view.eras().newest(),
                leases.knowsEraSettled(context.now()),
                leases.hasSeenRestore(),
                configurationEnd.offset(),
                configurationEnd.era(),
                endpointsEnd.offset(),
                endpointsEnd.era(),
                lostEnd.offset(),
                lostEnd.era(),
                runnerManager.observedLoads(),
                refusals.partEvidence(),
                refusals.requestReport(complete),
                forwarder.limits().report());
    }

    private void tick() {
        context.ticks().recordTick(context.now());
        context.ticks().report(context.now()).ifPresent(context::log);
        view.setReadSchedule(peers.isLargeDeployment(), readsForPeers(), keys.readWait());
        keys.tick(!peers.isLargeDeployment() || readsForPeers());
        view.tick(new ChangeListener());
        boolean hostsAreKnown = view.consumer(Topic.HOSTS).isCurrent();
        if (hostsAreKnown && ownAnnouncement.takeDue(context.now())) {
            context.emit(new ForwardingEffect.AppendAnnouncement(settings.announcement()));
        }
        confirmClaims();
        forwarder.streamVersions().tick(recordsForPeers());
        runnerManager.tick(stopping);
        crashDetector.tick();
        if (refusals.tick(hostsAreKnown && readsForPeers())) {
            forwarder.stopRefusedRequests();
        }
        forwarder.tick();
        Instant now = context.now();
        if (!now.isBefore(nextUseReportAt)) {
            nextUseReportAt = now.plus(peers.usageInterval());
            forwarder.usage().report();
        }
        if (!now.isBefore(nextStateAt)) {
            nextStateAt = now.plus(peers.stateInterval());
            messenger.broadcast(hostState(false));
            removeUseOfSilentPeers();
        }
        messenger.tick();
    }

    private void removeUseOfSilentPeers() {
        for (HostId host : peers.all()) {
            if (peers.silence(host, context.now()).compareTo(USE_RETENTION) > 0) {
                forwarder.usage().removePeer(host);
            }
        }
    }

    /**
     * Returns the time until the next tick is due: minimal while the host catches up, short while a request waits for an adapter, long without requests,
     * and doubled in a large deployment, where each host has few requests and a small processor.
     */
    public Duration tickInterval() {
        if (context.ticks().isBehind()) {
            return CATCH_UP_TICK;
        }
        if (forwarder.size() == 0) {
            return IDLE_TICK;
        }
        Duration tick = forwarder.waiting().isEmpty() ? IN_FLIGHT_TICK : WAITING_TICK;
        return peers.isLargeDeployment() ? tick.multipliedBy(2) : tick;
    }

    /** Returns whether this host knows a configuration and is not shutting down. */
    public boolean isReady() {
        return view.configuration().isPresent() && !stopping;
    }

    /** Returns the number of callers' requests that have not ended. */
    public int openRequests() {
        return forwarder.size();
    }

    /** Returns a summary of the state for metrics. */
    public ForwardingStatus status(Instant now) {
        Map<EndpointCondition, Long> endpoints = view.endpoints().stream()
                .collect(Collectors.groupingBy(endpoint -> endpoint.condition(now), Collectors.counting()));
        Map<Topic, ForwardingStatus.TopicStatus> topics = new EnumMap<>(Topic.class);
        for (Topic topic : Topic.values()) {
            TopicConsumer consumer = view.consumer(topic);
            topics.put(
                    topic,
                    new ForwardingStatus.TopicStatus(
                            consumer.isAvailable(),
                            consumer.end().offset(),
                            consumer.age(now).orElse(Duration.ZERO)));
        }
        return new ForwardingStatus(
                forwarder.size(),
                forwarder.waiting().size(),
                view.configuration().map(ForwardingConfiguration::version).orElse(-1L),
                endpoints,
                runnerManager.commandedRunners(),
                peers.live(now).size() - 1,
                refusals.refusedRequests(),
                refusals.refusedParts(),
                forwarder.limits().count(),
                forwarder.admissionStatus(),
                context.ticks().reportedDelay(),
                keys.status(now),
                new ForwardingStatus.EraStatus(view.eras().newest(), view.eras().changes()),
                topics,
                forwarder.teamAdmission().uses(now),
                forwarder.dataCentres().sentByDataCentre(),
                forwarder.dataCentres().leavingShares());
    }

    /** Returns the configuration in force; empty before the first one is known. */
    public Optional<ForwardingConfiguration> configuration() {
        return view.configuration();
    }

    /** Returns the earliest instant at which what is read now may have arrived; now if this host keeps up. */
    public Instant earliestArrival(Instant now) {
        return context.ticks().earliestArrival(now);
    }

    /** Returns when the answer to what is sent now is read at the earliest; now if this host keeps up. */
    public Instant nextRead(Instant now) {
        return context.ticks().nextRead(now);
    }

    /** Returns whether an endpoint has named a limit of the requests of all hosts. */
    public boolean isLimited(EndpointId endpoint) {
        return forwarder.limits().isLimited(endpoint);
    }

    /** Returns the addresses that callers may use, at least one. */
    public List<NetworkAddress> callerAddresses(Instant now) {
        return peers.callerAddresses(stopping, now);
    }

    /** Returns a peer's address for other hosts; empty if unknown. */
    public Optional<NetworkAddress> peerAddress(HostId host) {
        return peers.find(host).map(peer -> peer.announcement().peers());
    }

    private final class ChangeListener implements PlatformView.Listener {
        @Override
        public void endpointRestarted(EndpointState endpoint) {
            runnerManager.runnerRestarted(endpoint);
            crashDetector.endpointLost(endpoint);
        }

        @Override
        public void endpointRemoved(EndpointState endpoint) {
            crashDetector.endpointLost(endpoint);
        }

        @Override
        public void eraBegan(long era, boolean restored) {
            leases.beginEra(era, restored, context.now());
            if (era != 0) {
                peers.setLogNamesEra();
            }
            if (restored) {
                refusals.logRestored();
                forwarder.streamVersions().logRestored();
                ownAnnouncement.mayBeLost(context.now().plus(REWRITE_DELAY).plus(rewriteSpread()));
            }
        }

        @Override
        public void runnerClaimed(DecodedRecord.RunnerClaimed claim, LogPosition position) {
            leases.applyClaim(claim, position, context.now());
            context.log(DecisionRecord.important(
                    "claim",
                    "endpoint",
                    claim.endpoint(),
                    "holder",
                    claim.host(),
                    "settled",
                    claim.settled(),
                    "offset",
                    position.offset(),
                    "era",
                    position.era()));
        }

        @Override
        public void partRefused(DecodedRecord.PartRefused refused) {
            refusals.partRefusalRead(refused);
        }

        @Override
        public void requestCrashed(CrashedRequest request) {
            refusals.requestRead(request);
        }

        @Override
        public void hostAnnounced(HostAnnouncement announcement) {
            if (announcement.equals(settings.announcement())) {
                ownAnnouncement.found();
            }
            ForwardingReducer.this.applyAnnouncement(announcement);
        }

        @Override
        public void streamsRead(DecodedRecord.StreamsBegun streams) {
            forwarder.streamVersions().streamsRead(streams.batches());
        }

        @Override
        public void versionsRead(DecodedRecord.VersionsServed served) {
            forwarder.streamVersions().versionsRead(served.service(), served.served());
        }

        @Override
        public void versionPublished(AdapterName adapter, long version) {
            runnerManager.versionPublished(adapter, settings.versionTerm());
        }
    }
}
