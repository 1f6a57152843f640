package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.teams.TeamSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Exchanges messages between the reducers of many hosts. */
class PeerMessengerTest {
    private static final Duration STEP = Duration.ofMillis(20);

    /** Limit of messages per host and second: 2% of a slow core at 0.2 ms per message. */
    private static final int MESSAGES_PER_SECOND = 100;

    /** Cores of the strongest and the weakest hosts of the specified large deployments. */
    private static final double STRONG_CORES = 1.5;

    private static final double WEAK_CORES = 0.36;

    /** Number of hosts per strong host, as in those deployments. */
    private static final int STRONG_EVERY = 12;

    /**
     * Number of consecutively named hosts in one data centre, so that the order of names does not follow the data
     * centres.
     */
    private static final int HOSTS_IN_A_ROW = 5;

    private final Map<HostId, ForwardingReducer> hosts = new TreeMap<>();
    private final Set<HostId> stopped = new HashSet<>();
    private Instant now = Instant.ofEpochSecond(100);
    private Deque<Envelope> inTransit = new ArrayDeque<>();
    private int sent;
    private final Map<HostId, Integer> sentBy = new TreeMap<>();
    private IntToDoubleFunction cores = number -> 1;
    private final List<Envelope> delivered = new ArrayList<>();

    private record Envelope(HostId from, HostId to, PeerMessage message) {}

    private HostAnnouncement announcement(int number) {
        return new HostAnnouncement(
                new HostId("host-" + number),
                1,
                NetworkAddress.parse("10.1." + number / 200 + "." + (1 + number % 200) + ":80"),
                NetworkAddress.parse("10.2." + number / 200 + "." + (1 + number % 200) + ":81"),
                "centre-" + number / HOSTS_IN_A_ROW % 3,
                cores.applyAsDouble(number));
    }

    private void begin(int count) {
        for (int number = 0; number < count; number++) {
            HostAnnouncement own = announcement(number);
            ForwardingSettings settings = new ForwardingSettings(
                    new HostIdentity(own.host(), 1),
                    own,
                    true,
                    0.2,
                    50,
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(5),
                    TeamSettings.DEFAULT,
                    LocalitySettings.DISABLED);
            hosts.put(
                    own.host(),
                    new ForwardingReducer(
                            settings,
                            (topic, entry, at) -> Optional.of(
                                    new DecodedRecord.HostAnnounced(announcement(Integer.parseInt(entry.key()))))));
        }
        List<TopicRecord> records = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            records.add(new TopicRecord("" + number, Optional.of(new byte[1]), new LogPosition(0, number)));
        }
        for (HostId host : hosts.keySet()) {
            apply(host, new ForwardingEvent.TopicRead(Topic.HOSTS, now, true, records, new LogPosition(0, count)));
            apply(host, new ForwardingEvent.TopicRead(Topic.CLAIMS, now, true, List.of(), new LogPosition(0, 0)));
            apply(host, new ForwardingEvent.TopicRead(Topic.ENDPOINTS, now, true, List.of(), new LogPosition(0, 0)));
        }
    }

    private void apply(HostId host, ForwardingEvent event) {
        for (ForwardingEffect effect : hosts.get(host).apply(event, now)) {
            if (effect instanceof ForwardingEffect.SendToPeer toPeer) {
                sent++;
                sentBy.merge(host, 1, Integer::sum);
                inTransit.add(new Envelope(host, toPeer.peer(), toPeer.message()));
            }
        }
    }

    private void pass(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            Deque<Envelope> arriving = inTransit;
            inTransit = new ArrayDeque<>();
            for (Envelope envelope : arriving) {
                if (!stopped.contains(envelope.to())) {
                    delivered.add(envelope);
                    apply(
                            envelope.to(),
                            new ForwardingEvent.PeerMessageReceived(
                                    new HostIdentity(envelope.from(), 1), envelope.message()));
                }
            }
            for (HostId host : hosts.keySet()) {
                if (!stopped.contains(host)) {
                    apply(host, new ForwardingEvent.Tick());
                }
            }
        }
    }

    private void assertAllSee(int count) {
        hosts.forEach((host, reducer) -> {
            if (!stopped.contains(host)) {
                assertEquals(count, reducer.callerAddresses(now).size(), host + " at " + now);
            }
        });
    }

    private HostId busiestReceiver() {
        Map<HostId, Integer> counts = new TreeMap<>();
        delivered.forEach(envelope -> counts.merge(envelope.to(), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 17, 73, 200})
    void allHostsSeeEachOtherWithFewMessages(int count) {
        begin(count);
        pass(Duration.ofSeconds(3));
        assertAllSee(count);
        sent = 0;
        pass(Duration.ofSeconds(4));
        assertAllSee(count);
        assertTrue(sent <= 4 * MESSAGES_PER_SECOND * count, sent / 4 / count + " messages a second and host");
    }

    /** The members of the group of a failed relay stay advertised; the relay itself does not. */
    @Test
    void failureOfARelayHidesNoOtherHost() {
        begin(73);
        pass(Duration.ofSeconds(5));
        stopped.add(busiestReceiver());
        for (int step = 0; step < 40; step++) {
            pass(Duration.ofMillis(100));
            hosts.forEach((host, reducer) -> {
                if (!stopped.contains(host)) {
                    assertTrue(reducer.callerAddresses(now).size() >= 72, host + " at " + now);
                }
            });
        }
        assertAllSee(72);
    }

    @Test
    void thirdOfTheHostsFailsAtOnce() {
        begin(73);
        pass(Duration.ofSeconds(5));
        hosts.keySet().stream().limit(24).forEach(stopped::add);
        pass(Duration.ofSeconds(4));
        assertAllSee(49);
    }

    /**
     * A weak host must not become a relay: its network cannot carry the messages, and its members learn of changes
     * seconds late.
     */
    @Test
    void weakHostsDoNotRelay() {
        cores = number -> number % STRONG_EVERY == 0 ? STRONG_CORES : WEAK_CORES;
        begin(73);
        pass(Duration.ofSeconds(3));
        sentBy.clear();
        pass(Duration.ofSeconds(4));
        hosts.values().forEach(reducer -> assertEquals(72, reducer.status(now).livePeers()));
        for (int number = 0; number < 73; number++) {
            HostId host = new HostId("host-" + number);
            int each = sentBy.getOrDefault(host, 0) / 4;
            assertTrue(
                    number % STRONG_EVERY == 0 || each <= MESSAGES_PER_SECOND * WEAK_CORES,
                    host + " sends " + each + " messages a second");
        }
    }

    /** Messages to a single host pass relays, since there are no direct connections between all hosts. */
    @Test
    void requestAndReplyPassRelays() {
        begin(73);
        pass(Duration.ofSeconds(5));
        HostId requester = new HostId("host-1");
        HostId responder = new HostId("host-2");
        delivered.clear();
        apply(
                responder,
                new ForwardingEvent.PeerMessageReceived(
                        new HostIdentity(requester, 1), new PeerMessage.RecordsRequest(Topic.CLAIMS, 0, 0, 7)));
        pass(Duration.ofMillis(100));
        boolean answered = delivered.stream()
                .filter(envelope -> envelope.to().equals(requester))
                .anyMatch(envelope -> envelope.message() instanceof PeerMessage.Routed routed
                        && routed.message() instanceof PeerMessage.RecordsReply);
        assertTrue(answered);
    }
}
