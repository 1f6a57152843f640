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
import java.util.TreeMap;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/**
 * What a host believes of the configuration, the adapter versions and the endpoints, from the topics of the platform's
 * log that it reads itself or that peers relay.
 */
final class PlatformView {
    /** Time that a read of the configuration waits for a change. */
    private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(6);

    /** Time that a read of the entries of endpoints waits for a change. */
    private static final Duration ENDPOINTS_WAIT = Duration.ofMillis(1000);

    /** Time in which changes of endpoints are gathered, since each read is paid for; a part of the draining limit. */
    private static final Duration ENDPOINTS_GAP = Duration.ofMillis(450);

    /** Time that a read of the claims waits; two of them and an answer fit into the time that a claim counts. */
    static final Duration CLAIMS_WAIT = Duration.ofMillis(3000);

    /**
     * The same for the host that reads for all, whose reads confirm the claims of its peers: the shorter, the longer
     * commands go on in an outage of the log.
     */
    private static final Duration CLAIMS_WAIT_FOR_ALL = Duration.ofMillis(900);

    /** Time between reads of a topic that another host reads for this one; each read is paid for. */
    private static final Duration POLLING_INTERVAL = Duration.ofSeconds(15);

    /** Time that a read of the announcements of hosts waits. */
    private static final Duration HOSTS_WAIT = Duration.ofSeconds(10);

    /** Time after an outage in which the entries of live endpoints come back; from the users' protocol. */
    private static final Duration ENTRY_RETURN = Duration.ofMillis(2000);

    /** Time for which a removed endpoint stays known so that its last requests are accounted for. */
    private static final Duration REMOVED_RETENTION = Duration.ofSeconds(10);

    private final Turn turn;
    private final RecordDecoder decoder;
    private final Map<Topic, TopicFollower> followers = new TreeMap<>();
    private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> byService = new HashMap<>();
    private final Map<AdapterName, NamedVersion> versions = new HashMap<>();
    private Optional<ForwardingConfiguration> configuration = Optional.empty();
    private List<EndpointState> runners = List.of();

    private record NamedVersion(long version, long before, Instant namedAt) {}

    /** Hears of changes that concern other parts of the state. */
    interface Listener {
        void restarted(EndpointState endpoint);

        void removed(EndpointState endpoint);

        void claimed(DecodedRecord.RunnerClaimed claim, long offset);

        void announced(HostAnnouncement announcement);

        void versionNamed(AdapterName adapter, long version);
    }

    PlatformView(Turn turn, RecordDecoder decoder) {
        this.turn = turn;
        this.decoder = decoder;
        for (Topic topic : Topic.values()) {
            followers.put(topic, new TopicFollower(topic, waitOf(topic, false), gapOf(topic)));
        }
    }

    private static Duration waitOf(Topic topic, boolean readsForAll) {
        return switch (topic) {
            case CONFIGURATION -> CONFIGURATION_WAIT;
            case ENDPOINTS -> ENDPOINTS_WAIT;
            case CLAIMS -> readsForAll ? CLAIMS_WAIT_FOR_ALL : CLAIMS_WAIT;
            case HOSTS -> HOSTS_WAIT;
        };
    }

    private static Duration gapOf(Topic topic) {
        return topic == Topic.ENDPOINTS ? ENDPOINTS_GAP : Duration.ZERO;
    }

    /**
     * Lets one host of a large deployment wait for records for all; the others look now and then whether they heard all.
     *
     * @param large whether there are many hosts
     * @param readsForAll whether this host is that one
     */
    void setPace(boolean large, boolean readsForAll) {
        boolean polls = large && !readsForAll;
        followers.forEach((topic, follower) -> follower.setPace(
                polls ? Duration.ZERO : waitOf(topic, readsForAll),
                polls ? POLLING_INTERVAL : gapOf(topic),
                readsForAll,
                turn.now()));
    }

    /** Returns whether the last reads of all topics were answered. */
    boolean reachesLog() {
        return followers.values().stream().allMatch(TopicFollower::isAvailable);
    }

    TopicFollower follower(Topic topic) {
        return followers.get(topic);
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
        NamedVersion named = versions.get(adapter);
        return named == null ? 0 : named.version();
    }

    /** Returns the lowest version that may still be used: the one before for a part of the term after a new one. */
    long neededVersion(AdapterName adapter, Duration term, Instant now) {
        NamedVersion named = versions.get(adapter);
        if (named == null) {
            return 0;
        }
        return now.isBefore(named.namedAt().plus(term.dividedBy(2))) ? named.before() : named.version();
    }

    void tick() {
        followers.values().forEach(follower -> turn.emit(follower.tick(turn.now())));
        Iterator<EndpointState> all = endpoints.values().iterator();
        while (all.hasNext()) {
            EndpointState endpoint = all.next();
            if (!endpoint.removeAt().equals(Instant.MAX)
                    && turn.now().isAfter(endpoint.removeAt().plus(REMOVED_RETENTION))) {
                all.remove();
                group();
            }
        }
    }

    /** Takes what a read returned; returns the records that are news. */
    List<TopicRecord> read(ForwardingEvent.TopicRead event, Listener listener) {
        TopicFollower follower = followers.get(event.topic());
        boolean wasAvailable = follower.isAvailable();
        List<TopicRecord> news = follower.read(event, turn.now());
        take(event.topic(), news, listener);
        if (!wasAvailable) {
            turn.log(DecisionRecord.important("topic-available", "topic", event.topic(), "end", event.end()));
        }
        return news;
    }

    void relayed(PeerMessage.RecordsReply message, HostId from, Listener listener) {
        Topic topic = message.topic();
        TopicFollower follower = followers.get(topic);
        message.outageAgeMilliseconds()
                .ifPresent(age -> follower.noteOutage(turn.now().minusMillis(age)));
        List<TopicRecord> records = message.records().stream()
                .map(entry -> new TopicRecord(
                        entry.key(), entry.removed() ? Optional.empty() : Optional.of(entry.value()), entry.offset()))
                .toList();
        List<TopicRecord> news = follower.relayed(message.offset(), records, message.end(), turn.now());
        if (!news.isEmpty()) {
            turn.log(DecisionRecord.of(
                    "topic-relayed", "topic", topic, "from", from, "records", news.size(), "end", message.end()));
            take(topic, news, listener);
        }
    }

    void expired(Topic topic) {
        followers.get(topic).expired(turn.now());
        turn.log(DecisionRecord.important("topic-expired", "topic", topic));
    }

    void unavailable(Topic topic) {
        TopicFollower follower = followers.get(topic);
        if (follower.isAvailable()) {
            turn.log(DecisionRecord.important("topic-unavailable", "topic", topic, "end", follower.end()));
        }
        follower.unavailable(turn.now());
    }

    private void take(Topic topic, List<TopicRecord> news, Listener listener) {
        for (TopicRecord entry : news) {
            if (entry.value().isEmpty()) {
                if (topic == Topic.ENDPOINTS) {
                    remove(entry.key(), listener);
                }
                continue;
            }
            Optional<DecodedRecord> fact = decoder.decode(topic, entry, turn.now());
            if (fact.isEmpty()) {
                turn.log(DecisionRecord.important(
                        "record-ignored", "topic", topic, "key", entry.key(), "offset", entry.offset()));
                if (topic == Topic.ENDPOINTS) {
                    remove(entry.key(), listener);
                }
            } else {
                take(fact.get(), entry.offset(), listener);
            }
        }
    }

    private void take(DecodedRecord fact, long offset, Listener listener) {
        if (fact instanceof DecodedRecord.ConfigurationPublished configured) {
            configure(configured.configuration(), offset);
        } else if (fact instanceof DecodedRecord.AdapterVersionPublished named) {
            long before = newestVersion(named.adapter());
            if (named.version() > before) {
                versions.put(named.adapter(), new NamedVersion(named.version(), before, turn.now()));
                turn.log(DecisionRecord.important(
                        "adapter-version", "adapter", named.adapter(), "version", named.version()));
                listener.versionNamed(named.adapter(), named.version());
            }
        } else if (fact instanceof DecodedRecord.EndpointListed listed) {
            list(listed.listing(), listener);
        } else if (fact instanceof DecodedRecord.RunnerClaimed claimed) {
            listener.claimed(claimed, offset);
        } else if (fact instanceof DecodedRecord.HostAnnounced announced) {
            listener.announced(announced.announcement());
        }
    }

    private void configure(ForwardingConfiguration newer, long offset) {
        if (configuration.isPresent() && configuration.get().version() >= newer.version()) {
            return;
        }
        configuration = Optional.of(newer);
        group();
        turn.log(DecisionRecord.important("configuration", "version", newer.version(), "offset", offset));
    }

    private void list(EndpointListing listing, Listener listener) {
        EndpointState known = endpoints.get(listing.id());
        if (known == null) {
            endpoints.put(listing.id(), new EndpointState(listing));
            group();
            turn.log(DecisionRecord.important(
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
        boolean drains = listing.draining() && !known.listing().draining();
        boolean moved = !known.listing().service().equals(listing.service());
        if (known.update(listing)) {
            turn.log(DecisionRecord.important(
                    "endpoint-restarted", "endpoint", listing.id(), "started", listing.started()));
            listener.restarted(known);
        }
        if (moved) {
            group();
        }
        if (drains) {
            turn.log(DecisionRecord.important("endpoint-leaving", "endpoint", listing.id()));
        }
    }

    private void remove(String key, Listener listener) {
        for (EndpointState endpoint : endpoints.values()) {
            if (endpoint.id().value().equals(key) && endpoint.removeAt().equals(Instant.MAX)) {
                boolean maybeLapsed = followers.get(Topic.ENDPOINTS).isRecovering(turn.now());
                endpoint.removeAt(maybeLapsed ? turn.now().plus(ENTRY_RETURN) : turn.now());
                turn.log(DecisionRecord.important("endpoint-removed", "endpoint", key, "after-outage", maybeLapsed));
                listener.removed(endpoint);
            }
        }
    }

    private void group() {
        byService.clear();
        endpoints.values().forEach(endpoint -> byService
                .computeIfAbsent(endpoint.listing().service(), service -> new ArrayList<>())
                .add(endpoint));
        runners = endpoints.values().stream()
                .filter(endpoint -> capacityOf(endpoint).isPresent())
                .toList();
    }
}
