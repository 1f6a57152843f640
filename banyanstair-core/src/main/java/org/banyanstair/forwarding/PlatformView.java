package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogEras;
import org.banyanstair.history.LogPosition;
import org.banyanstair.history.ReappearedEntries;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.LostReport;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.teams.KeyChanges;
import org.banyanstair.teams.TeamTable;

/**
 * A host's view of the configuration, the adapter versions and the endpoints, from the topics of the platform's log
 * that it reads itself or that peers relay.
 */
final class PlatformView {
    /** Wait of a read of the configuration for a change. */
    private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(6);

    /** Wait of a read of the registry entries of endpoints for a change. */
    private static final Duration ENDPOINTS_WAIT = Duration.ofMillis(1000);

    /**
     * Time for which changes of endpoints are batched, since reads are billed; a part of the time that a drain may
     * take.
     */
    private static final Duration ENDPOINTS_READ_INTERVAL = Duration.ofMillis(450);

    /** Wait of a read of the claims; two waits and an answer fit into the lease validity. */
    static final Duration CLAIMS_WAIT = Duration.ofMillis(3000);

    /**
     * The same wait on a host that reads for its peers and thereby confirms their claims: the shorter it is, the longer
     * commands continue in an outage of the log.
     */
    private static final Duration CLAIMS_WAIT_FOR_PEERS = Duration.ofMillis(900);

    /** Interval between reads of a topic that another host reads for this one; reads are billed. */
    private static final Duration POLLING_INTERVAL = Duration.ofSeconds(15);

    /** Interval between reads of which version began which stream; hosts tell each other, and read when they need it. */
    private static final Duration STREAMS_READ_INTERVAL = Duration.ofMinutes(10);

    /** Wait of a read of the host announcements. */
    private static final Duration HOSTS_WAIT = Duration.ofSeconds(10);

    /** Time after an outage in which live endpoints register again, by the platform protocol. */
    private static final Duration REREGISTRATION_PERIOD = Duration.ofMillis(2000);

    /** Time after a suspension of the process in which messages that were sent during it may still arrive. */
    private static final Duration DELAYED_MESSAGES_PERIOD = Duration.ofSeconds(1);

    /** Time for which a removed endpoint is kept to account for its last requests. */
    private static final Duration REMOVED_RETENTION = Duration.ofSeconds(10);

    /** Time after which the entry of an endpoint that sends nothing has lapsed, by the platform protocol. */
    private static final Duration ENTRY_LIFETIME = Duration.ofSeconds(5);

    /** Time over which hosts that only poll spread their snapshots after the log was restored. */
    private static final Duration MAXIMUM_RESTORE_SPREAD = Duration.ofMillis(500);

    private final EventContext context;
    private final RecordDecoder decoder;
    private final TopicReadLog readLog;
    private final Duration restoreSpread;
    private final Map<Topic, TopicConsumer> consumers = new TreeMap<>();
    private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> byService = new HashMap<>();
    private final Map<AdapterName, PublishedVersion> versions = new HashMap<>();
    private Optional<ForwardingConfiguration> configuration = Optional.empty();
    private List<EndpointState> runners = List.of();
    private final LogEras eras = new LogEras();
    private final ReappearedEntries<TopicRecord> reappeared = new ReappearedEntries<>();
    private boolean catchingUp;
    private Instant resumedAt = Instant.MIN;
    private boolean boundsConfigurationWait;

    /**
     * Where records come from.
     *
     * @param writtenAt earliest time at which they were written; {@link Instant#MIN} if unknown
     * @param restored whether they may be older than what is known, as those of a copy from which the log was restored
     */
    private record Provenance(Instant writtenAt, boolean restored) {}

    /** A version of an adapter; {@code publishedAt} is {@link Instant#MIN} if it was not read as it was published. */
    private record PublishedVersion(long version, long previous, Instant publishedAt) {}

    /** Receives changes that concern other parts of the state. */
    interface Listener {
        void endpointRestarted(EndpointState endpoint);

        void endpointRemoved(EndpointState endpoint);

        void runnerClaimed(DecodedRecord.RunnerClaimed claim, LogPosition position);

        /**
         * An era of the log has begun, as far as this host knows.
         *
         * @param restored whether an earlier one was known
         */
        void eraBegan(long era, boolean restored);

        void partRefused(DecodedRecord.PartRefused refused);

        void requestCrashed(CrashedRequest request);

        void hostAnnounced(HostAnnouncement announcement);

        void streamsRead(DecodedRecord.StreamsBegun streams);

        void versionsRead(DecodedRecord.VersionsServed served);

        void versionPublished(AdapterName adapter, long version);
    }

    /**
     * Creates a view of which nothing is known.
     *
     * @param self spreads reads that all hosts have to make at once
     */
    PlatformView(EventContext context, RecordDecoder decoder, HostId self) {
        this.context = context;
        this.restoreSpread = Duration.ofMillis(Math.floorMod(self.hashCode(), (int) MAXIMUM_RESTORE_SPREAD.toMillis()));
        this.decoder = decoder;
        this.readLog = new TopicReadLog(context);
        for (Topic topic : Topic.values()) {
            consumers.put(topic, new TopicConsumer(topic, readWait(topic, false), readInterval(topic)));
        }
    }

    private static Duration readWait(Topic topic, boolean readsForPeers) {
        return switch (topic) {
            case CONFIGURATION -> CONFIGURATION_WAIT;
            case ENDPOINTS -> ENDPOINTS_WAIT;
            case CLAIMS -> readsForPeers ? CLAIMS_WAIT_FOR_PEERS : CLAIMS_WAIT;
            case HOSTS -> HOSTS_WAIT;
            case STREAMS -> Duration.ZERO;
        };
    }

    private static Duration readInterval(Topic topic) {
        return switch (topic) {
            case ENDPOINTS -> ENDPOINTS_READ_INTERVAL;
            case STREAMS -> STREAMS_READ_INTERVAL;
            default -> Duration.ZERO;
        };
    }

    /**
     * Adjusts the reads of topics: in a large deployment only some hosts wait for records, and the others poll
     * occasionally to check that they have received all.
     *
     * @param large whether this is a large deployment
     * @param readsForPeers whether this host reads for its peers
     * @param configurationWait wait of a read of the configuration if its reads confirm keys; otherwise empty
     */
    void setReadSchedule(boolean large, boolean readsForPeers, Optional<Duration> configurationWait) {
        if (configurationWait.isPresent() && !boundsConfigurationWait) {
            // The read in flight may wait for longer than the new wait, and confirms only its start.
            consumer(Topic.CONFIGURATION).restartWaitingRead(context.now());
        }
        boundsConfigurationWait = configurationWait.isPresent();
        boolean polls = large && !readsForPeers;
        consumers.values().stream()
                .filter(consumer -> consumer.topic() != Topic.STREAMS)
                .forEach(consumer -> setReadSchedule(consumer, polls, readsForPeers, configurationWait));
    }

    private void setReadSchedule(
            TopicConsumer consumer, boolean polls, boolean readsForPeers, Optional<Duration> configurationWait) {
        Topic topic = consumer.topic();
        consumer.setReadSchedule(
                polls
                        ? Duration.ZERO
                        : configurationWait
                                .filter(wait -> topic == Topic.CONFIGURATION)
                                .orElse(readWait(topic, readsForPeers)),
                polls ? POLLING_INTERVAL : readInterval(topic),
                readsForPeers,
                context.now());
    }

    /** Returns whether the last reads of all topics were answered. */
    boolean reachesLog() {
        return consumers.values().stream().allMatch(TopicConsumer::isAvailable);
    }

    TopicConsumer consumer(Topic topic) {
        return consumers.get(topic);
    }

    LogEras eras() {
        return eras;
    }

    Optional<ForwardingConfiguration> configuration() {
        return configuration;
    }

    Optional<EndpointState> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    Collection<EndpointState> endpoints() {
        return endpoints.values();
    }

    List<EndpointState> endpointsOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the endpoints of services with adapters. */
    List<EndpointState> runners() {
        return runners;
    }

    Optional<EngineCapacity> capacityOf(EndpointState endpoint) {
        return configuration
                .flatMap(known -> known.service(endpoint.listing().service()))
                .flatMap(ServiceDefinition::engine);
    }

    long newestVersion(AdapterName adapter) {
        PublishedVersion published = versions.get(adapter);
        return published == null ? 0 : published.version();
    }

    /**
     * Returns the lowest version that may be used: the previous one for the first half of the term after a publication
     * that this host has seen, otherwise the newest one.
     */
    long neededVersion(AdapterName adapter, Duration term, Instant now) {
        PublishedVersion published = versions.get(adapter);
        if (published == null) {
            return 0;
        }
        return now.isBefore(published.publishedAt().plus(term.dividedBy(2)))
                ? published.previous()
                : published.version();
    }

    void tick(Listener listener) {
        Provenance unknown = new Provenance(Instant.MIN, false);
        List<TopicRecord> due = consumer(Topic.ENDPOINTS).isAvailable() ? reappeared.takeDue(context.now()) : List.of();
        due.forEach(entry -> apply(Topic.ENDPOINTS, List.of(entry), unknown, listener));
        consumers.values().forEach(consumer -> context.emit(consumer.tick(context.now())));
        Iterator<EndpointState> iterator = endpoints.values().iterator();
        while (iterator.hasNext()) {
            EndpointState endpoint = iterator.next();
            if (!endpoint.removeAt().equals(Instant.MAX)
                    && context.now().isAfter(endpoint.removeAt().plus(REMOVED_RETENTION))) {
                iterator.remove();
                rebuildIndexes();
            }
        }
    }

    /** Applies the result of a read; returns the new records. */
    List<TopicRecord> applyRead(ForwardingEvent.TopicRead event, Listener listener) {
        observeEra(event.end().era(), Optional.empty(), listener);
        TopicConsumer consumer = consumers.get(event.topic());
        boolean wasAvailable = consumer.isAvailable();
        boolean justWritten = wasAvailable
                && !event.snapshot()
                && !consumer.reliesOnPeers()
                && event.startedAt().isAfter(resumedAt);
        LogPosition knownEnd = consumer.end();
        Set<String> reappearedKeys = reappearedKeys(consumer, event.records(), event.end());
        List<TopicRecord> newRecords = consumer.applyRead(event, context.now());
        if (event.snapshot()) {
            readLog.snapshotRead(event, knownEnd, newRecords);
        } else {
            readLog.recordsRead(event, consumer.end(), newRecords);
        }
        Provenance provenance = new Provenance(
                justWritten ? context.now() : Instant.MIN,
                knownEnd.isRead() && event.end().era() > knownEnd.era());
        apply(event.topic(), holdBack(event.topic(), newRecords, reappearedKeys), provenance, listener);
        if (!wasAvailable) {
            context.log(DecisionRecord.important("topic-available", "topic", event.topic(), "end", event.end()));
        }
        logCaughtUp();
        return newRecords;
    }

    void applyRelayed(PeerMessage.RecordsReply message, HostId from, Listener listener) {
        observePeerEra(message.era(), from, listener);
        if (message.era() < eras.newest()) {
            return;
        }
        Topic topic = message.topic();
        TopicConsumer consumer = consumers.get(topic);
        message.outageAgeMilliseconds()
                .ifPresent(age -> consumer.recordRelayedOutage(context.now().minusMillis(age)));
        boolean newlyRead =
                message.askedAtMilliseconds().isEmpty() && !message.records().isEmpty();
        boolean justWritten = newlyRead
                && message.offset() > 0
                && message.outageAgeMilliseconds().isEmpty()
                && consumer.isAvailable()
                && context.now().minus(DELAYED_MESSAGES_PERIOD).isAfter(resumedAt);
        if (newlyRead && message.outageAgeMilliseconds().isEmpty()) {
            consumer.recordPeerRead(context.now());
        }
        List<TopicRecord> records = message.records().stream()
                .map(entry -> new TopicRecord(
                        entry.key(),
                        entry.removed() ? Optional.empty() : Optional.of(entry.value()),
                        new LogPosition(message.era(), entry.offset())))
                .toList();
        LogPosition knownEnd = consumer.end();
        Set<String> reappearedKeys = reappearedKeys(consumer, records, message.endPosition());
        List<TopicRecord> newRecords =
                consumer.applyRelayed(message.from(), records, message.endPosition(), context.now());
        if (!newRecords.isEmpty()) {
            context.log(DecisionRecord.of(
                    "topic-relayed", "topic", topic, "from", from, "records", newRecords.size(), "end", message.end()));
            Provenance provenance = new Provenance(
                    justWritten ? context.now() : Instant.MIN, knownEnd.isRead() && message.era() > knownEnd.era());
            apply(topic, holdBack(topic, newRecords, reappearedKeys), provenance, listener);
        }
        message.lost()
                .filter(report -> topic == Topic.CONFIGURATION)
                .ifPresent(report -> applyLost(report, from, listener));
        logCaughtUp();
    }

    /** Applies what a peer had read of an ended era and the restored log lacks. */
    private void applyLost(LostReport report, HostId from, Listener listener) {
        Map<String, TopicRecord> newer = new HashMap<>();
        for (RelayedRecord relayed : report.records()) {
            TopicRecord entry = new TopicRecord(
                    relayed.key(), Optional.of(relayed.value()), new LogPosition(report.era(), relayed.offset()));
            Optional<DecodedRecord> decoded = decoder.decode(Topic.CONFIGURATION, entry, context.now());
            if (decoded.filter(this::isNewer).isPresent()) {
                newer.put(entry.key(), entry);
                apply(decoded.get(), entry.position(), new Provenance(Instant.MIN, true), listener);
            }
        }
        consumer(Topic.CONFIGURATION).lost().keep(newer, report.endPosition());
        context.log(DecisionRecord.important(
                "records-lost", "records", newer.size(), "end", report.endPosition(), "from", from));
    }

    private boolean isNewer(DecodedRecord decoded) {
        if (decoded instanceof DecodedRecord.ConfigurationPublished published) {
            return configuration
                    .filter(known ->
                            known.version() >= published.configuration().version())
                    .isEmpty();
        }
        return decoded instanceof DecodedRecord.AdapterVersionPublished published
                && published.version() > newestVersion(published.adapter());
    }

    private boolean isInForce(DecodedRecord decoded) {
        if (decoded instanceof DecodedRecord.ConfigurationPublished published) {
            return configuration
                    .filter(known ->
                            known.version() == published.configuration().version())
                    .isPresent();
        }
        return decoded instanceof DecodedRecord.AdapterVersionPublished published
                && published.version() == newestVersion(published.adapter());
    }

    /** Returns the keys of endpoints that were removed and that the records of a later era list again. */
    private Set<String> reappearedKeys(TopicConsumer consumer, List<TopicRecord> records, LogPosition end) {
        if (consumer.topic() != Topic.ENDPOINTS || end.era() <= consumer.end().era()) {
            return Set.of();
        }
        return records.stream()
                .map(TopicRecord::key)
                .filter(key -> consumer.isRemoved(key) || reappeared.isHeld(key))
                .collect(Collectors.toSet());
    }

    /** Holds the records of keys back that have reappeared; returns the others. */
    private List<TopicRecord> holdBack(Topic topic, List<TopicRecord> newRecords, Set<String> reappearedKeys) {
        if (topic != Topic.ENDPOINTS) {
            return newRecords;
        }
        List<TopicRecord> others = new ArrayList<>();
        for (TopicRecord entry : newRecords) {
            if (reappearedKeys.contains(entry.key())) {
                reappeared.hold(entry.key(), entry, context.now().plus(ENTRY_LIFETIME));
                context.log(DecisionRecord.important(
                        "endpoint-reappeared",
                        "endpoint",
                        entry.key(),
                        "offset",
                        entry.position().offset()));
            } else {
                reappeared.drop(entry.key());
                others.add(entry);
            }
        }
        return others;
    }

    /** Applies the era that a peer knows; one of an earlier release, or one that has read nothing, names none. */
    void observePeerEra(long era, HostId peer, Listener listener) {
        if (era > eras.newest()) {
            observeEra(era, Optional.of(peer), listener);
        }
    }

    /** Records that the process was suspended: what it reads next may have been written during the suspension. */
    void resumed() {
        resumedAt = context.now();
    }

    /**
     * Applies the era that a response of the log names, or that a peer knows: if it is new, all topics are read anew.
     *
     * @param peer the peer that knows it; empty for a response of the log
     */
    void observeEra(long era, Optional<HostId> peer, Listener listener) {
        long known = eras.newest();
        LogEras.Observation observation = eras.observe(era, context.now());
        if (observation == LogEras.Observation.NEWER) {
            context.log(DecisionRecord.important("log-era", "era", era, "known-era", known)
                    .with("peer", peer));
            catchingUp = true;
            listener.eraBegan(era, true);
            consumers.values().forEach(consumer -> consumer.beginEra(era, snapshotTime(consumer), context.now()));
        } else if (observation == LogEras.Observation.FIRST) {
            listener.eraBegan(era, false);
        } else if (observation == LogEras.Observation.FIRST_ENDED) {
            context.log(DecisionRecord.important("log-era-ended", "era", era, "known-era", known)
                    .with("peer", peer));
        }
    }

    /** Returns when to read a snapshot after the log was restored; hosts that only poll spread these reads. */
    private Instant snapshotTime(TopicConsumer consumer) {
        return consumer.reliesOnPeers() ? context.now().plus(restoreSpread) : context.now();
    }

    private void logCaughtUp() {
        if (catchingUp && consumers.values().stream().allMatch(TopicConsumer::isCurrent)) {
            catchingUp = false;
            context.log(DecisionRecord.important(
                    "log-era-read",
                    "era",
                    eras.newest(),
                    "after-ms",
                    context.millisecondsSince(eras.newestKnownSince()),
                    "configuration",
                    configuration.map(ForwardingConfiguration::version).orElse(-1L)));
        }
    }

    void expired(Topic topic) {
        TopicConsumer consumer = consumers.get(topic);
        consumer.expired(context.now());
        readLog.readExpired(topic, consumer.end(), eras.newest());
    }

    void unavailable(Topic topic) {
        TopicConsumer consumer = consumers.get(topic);
        if (consumer.isAvailable()) {
            context.log(DecisionRecord.important("topic-unavailable", "topic", topic, "end", consumer.end()));
        }
        consumer.unavailable(context.now());
    }

    /**
     * Repeats the reads that wait for records, after another call got no response in time: connections that were open
     * then may have gone silent together, and a waiting read would show it only after its wait.
     */
    void restartWaitingReads() {
        consumers.values().forEach(consumer -> consumer.restartWaitingRead(context.now()));
    }

    /**
     * Applies new records.
     */
    private void apply(Topic topic, List<TopicRecord> newRecords, Provenance provenance, Listener listener) {
        for (TopicRecord entry : newRecords) {
            if (entry.value().isEmpty()) {
                if (topic == Topic.ENDPOINTS) {
                    remove(entry.key(), listener);
                }
                continue;
            }
            Optional<DecodedRecord> decoded = decoder.decode(topic, entry, context.now());
            Optional<DecodedRecord.Malformed> malformed =
                    decoded.filter(DecodedRecord.Malformed.class::isInstance).map(DecodedRecord.Malformed.class::cast);
            if (decoded.isEmpty() || malformed.isPresent()) {
                context.log(DecisionRecord.important(
                                "record-ignored",
                                "topic",
                                topic,
                                "key",
                                entry.key(),
                                "offset",
                                entry.position().offset())
                        .with("field", malformed.map(DecodedRecord.Malformed::field))
                        .with("accepted", malformed.map(DecodedRecord.Malformed::accepted)));
                if (topic == Topic.ENDPOINTS) {
                    remove(entry.key(), listener);
                }
            } else {
                apply(decoded.get(), entry.position(), provenance, listener);
                if (isInForce(decoded.get())) {
                    consumers.get(topic).lost().written(entry.key());
                }
            }
        }
    }

    private void apply(DecodedRecord decoded, LogPosition position, Provenance provenance, Listener listener) {
        if (decoded instanceof DecodedRecord.ConfigurationPublished configured) {
            applyConfiguration(configured.configuration(), position);
        } else if (decoded instanceof DecodedRecord.AdapterVersionPublished published) {
            long previous = newestVersion(published.adapter());
            if (published.version() > previous) {
                versions.put(
                        published.adapter(),
                        new PublishedVersion(published.version(), previous, provenance.writtenAt()));
                context.log(DecisionRecord.important(
                        "adapter-version", "adapter", published.adapter(), "version", published.version()));
                listener.versionPublished(published.adapter(), published.version());
            }
        } else if (decoded instanceof DecodedRecord.EndpointListed listed) {
            applyListing(listed.listing(), provenance.restored(), listener);
        } else if (decoded instanceof DecodedRecord.RunnerClaimed claimed) {
            listener.runnerClaimed(claimed, position);
        } else if (decoded instanceof DecodedRecord.PartRefused refused) {
            listener.partRefused(refused);
        } else if (decoded instanceof DecodedRecord.RequestCrashed crashed) {
            listener.requestCrashed(crashed.request());
        } else if (decoded instanceof DecodedRecord.HostAnnounced announced) {
            listener.hostAnnounced(announced.announcement());
        } else if (decoded instanceof DecodedRecord.StreamsBegun streams) {
            listener.streamsRead(streams);
        } else if (decoded instanceof DecodedRecord.VersionsServed served) {
            listener.versionsRead(served);
        }
    }

    private void applyConfiguration(ForwardingConfiguration newer, LogPosition position) {
        if (configuration.isPresent() && configuration.get().version() >= newer.version()) {
            if (configuration.get().version() > newer.version()) {
                context.log(DecisionRecord.important(
                        "configuration-outdated",
                        "version",
                        newer.version(),
                        "in-force",
                        configuration.get().version(),
                        "offset",
                        position.offset(),
                        "era",
                        position.era()));
            }
            return;
        }
        TeamTable older = configuration.map(ForwardingConfiguration::teams).orElse(TeamTable.NONE);
        configuration = Optional.of(newer);
        rebuildIndexes();
        context.log(DecisionRecord.important(
                "configuration", "version", newer.version(), "offset", position.offset(), "era", position.era()));
        KeyChanges changes = newer.teams().changesSince(older);
        if (!changes.isEmpty()) {
            context.log(DecisionRecord.important(
                    "keys-changed",
                    "version",
                    newer.version(),
                    "added",
                    changes.added(),
                    "removed",
                    changes.removed(),
                    "moved",
                    changes.moved(),
                    "teams",
                    newer.teams().all().size()));
        }
    }

    private void applyListing(EndpointListing listed, boolean restored, Listener listener) {
        EndpointState known = endpoints.get(listed.id());
        EndpointListing listing = restored && known != null ? known.listing().mergeRestored(listed) : listed;
        if (known == null) {
            endpoints.put(listing.id(), new EndpointState(listing));
            rebuildIndexes();
            context.log(DecisionRecord.important(
                    "endpoint-listed",
                    "endpoint",
                    listing.id(),
                    "service",
                    listing.service(),
                    "started",
                    listing.started(),
                    "draining",
                    listing.draining()));
            return;
        }
        boolean startsDraining = listing.draining() && !known.listing().draining();
        if (!restored) {
            known.staleEntry().entryWritten();
        }
        boolean serviceChanged = !known.listing().service().equals(listing.service());
        if (known.update(listing, context.now())) {
            context.log(DecisionRecord.important(
                    "endpoint-restarted", "endpoint", listing.id(), "started", listing.started()));
            listener.endpointRestarted(known);
        }
        if (serviceChanged) {
            rebuildIndexes();
        }
        if (startsDraining) {
            context.log(DecisionRecord.important("endpoint-leaving", "endpoint", listing.id()));
        }
    }

    private void remove(String key, Listener listener) {
        for (EndpointState endpoint : endpoints.values()) {
            if (endpoint.id().value().equals(key) && endpoint.removeAt().equals(Instant.MAX)) {
                Optional<Duration> outageAge = consumers.get(Topic.ENDPOINTS).outageAge(context.now());
                endpoint.setRemoveAt(context.now().plus(remainingReregistrationTime(outageAge)));
                context.log(DecisionRecord.important(
                        "endpoint-removed", "endpoint", key, "after-outage", outageAge.isPresent()));
                listener.endpointRemoved(endpoint);
            }
        }
    }

    /** Returns the time in which an endpoint whose entry lapsed in an outage may still register again. */
    private static Duration remainingReregistrationTime(Optional<Duration> outageAge) {
        return outageAge
                .filter(age -> age.compareTo(REREGISTRATION_PERIOD) < 0)
                .map(REREGISTRATION_PERIOD::minus)
                .orElse(Duration.ZERO);
    }

    private void rebuildIndexes() {
        byService.clear();
        endpoints.values().forEach(endpoint -> byService
                .computeIfAbsent(endpoint.listing().service(), service -> new ArrayList<>())
                .add(endpoint));
        runners = endpoints.values().stream()
                .filter(endpoint -> capacityOf(endpoint).isPresent())
                .toList();
    }
}
