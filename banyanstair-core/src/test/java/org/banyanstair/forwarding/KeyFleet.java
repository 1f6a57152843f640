package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import java.util.function.UnaryOperator;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;

/**
 * Simulates hosts that read a log and exchange messages, and callers with one key, which the configuration grants or
 * takes away. Hosts may freeze, also with clocks that stand still meanwhile, restart, and lose the log or messages.
 */
final class KeyFleet {
    static final Duration STEP = Duration.ofMillis(20);

    static final Duration TERM = Duration.ofSeconds(5);

    static final String KEYED_PATH = "/keyed/";

    static final String OPEN_PATH = "/open/";

    /** Suspension that a clock that stands still meanwhile notices. */
    private static final Duration NOTICED_GAP = Duration.ofMillis(400);

    private static final Duration LOG_RESPONSE_TIME = Duration.ofMillis(4);

    private static final KeyDigest KEY = KeyDigest.of("key");

    private final Random random;
    private final TeamSettings terms;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<Topic, List<TopicRecord>> log = new EnumMap<>(Topic.class);
    private final List<ForwardingConfiguration> configurations = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparing(Scheduled::order));
    private Instant now = Instant.ofEpochSecond(1000);
    private long orders;
    private long exchanges;
    private boolean logAvailable = true;
    private ToIntFunction<PeerMessage> messageDelayMilliseconds = message -> 5;
    private UnaryOperator<PeerMessage> messageChange = UnaryOperator.identity();

    private record Scheduled(Instant at, long order, Runnable action) {}

    /** A host; its clock counts from the start of its process, less the frozen time that it does not show. */
    final class Host {
        private final HostId id;
        private final List<Runnable> delayed = new ArrayList<>();
        private final List<ForwardingEffect> effects = new ArrayList<>();
        private ForwardingReducer reducer;
        private long incarnation;
        private Instant startedAt;
        private Instant frozenAt = Instant.MIN;
        private Instant frozenUntil = Instant.MIN;
        private boolean clockStops;
        private boolean hasGap;
        private boolean reachesLog = true;
        private boolean reachesPeers = true;

        Host(int index) {
            id = new HostId("host-" + index);
            start();
        }

        private void start() {
            incarnation = now.toEpochMilli();
            startedAt = now;
            delayed.clear();
            frozenUntil = Instant.MIN;
            hasGap = false;
            ForwardingSettings settings = new ForwardingSettings(
                    identity(),
                    announcement(id, incarnation),
                    true,
                    0.2,
                    50,
                    Duration.ofSeconds(3),
                    TERM,
                    terms,
                    LocalitySettings.DISABLED);
            reducer = new ForwardingReducer(settings, KeyFleet.this::decode);
        }

        void restart() {
            start();
        }

        private HostIdentity identity() {
            return new HostIdentity(id, incarnation);
        }

        private Instant clock() {
            return Instant.ofEpochSecond(1).plus(Duration.between(startedAt, now));
        }

        private boolean isFrozen() {
            return now.isBefore(frozenUntil);
        }

        /** Freezes the process; its clock may stand still meanwhile. */
        void freeze(Duration time, boolean stopsClock) {
            if (!isFrozen()) {
                frozenAt = now;
                frozenUntil = now.plus(time);
                clockStops = stopsClock;
            }
        }

        void setReachesLog(boolean value) {
            reachesLog = value;
        }

        void setReachesPeers(boolean value) {
            reachesPeers = value;
        }

        private void step() {
            if (isFrozen()) {
                return;
            }
            if (frozenAt.isAfter(Instant.MIN)) {
                if (clockStops) {
                    startedAt = startedAt.plus(Duration.between(frozenAt, now));
                    hasGap = now.isAfter(frozenAt.plus(NOTICED_GAP));
                }
                frozenAt = Instant.MIN;
            }
            // What arrived during the suspension is handled before the next tick.
            List<Runnable> arrived = List.copyOf(delayed);
            delayed.clear();
            arrived.forEach(Runnable::run);
            apply(new ForwardingEvent.Tick());
        }

        private List<ForwardingEffect> apply(ForwardingEvent event) {
            List<ForwardingEffect> result = new ArrayList<>();
            if (hasGap) {
                hasGap = false;
                result.addAll(reducer.apply(new ForwardingEvent.ClockGap(), clock()));
            }
            result.addAll(reducer.apply(event, clock()));
            effects.addAll(result);
            result.forEach(this::execute);
            return result;
        }

        private void execute(ForwardingEffect effect) {
            if (effect instanceof ForwardingEffect.SendToPeer message) {
                send(message.peer(), message.message());
            } else if (effect instanceof ForwardingEffect.ReadNewest read) {
                long end = records(read.topic()).size();
                List<TopicRecord> newest = List.copyOf(records(read.topic()));
                readEnds(
                        LOG_RESPONSE_TIME,
                        new ForwardingEvent.TopicRead(read.topic(), clock(), true, newest, new LogPosition(0, end)));
            } else if (effect instanceof ForwardingEffect.ReadFrom read) {
                readFrom(read, clock(), now.plus(Duration.between(clock(), read.waitUntil())));
            }
        }

        private void readFrom(ForwardingEffect.ReadFrom read, Instant startedAtClock, Instant until) {
            List<TopicRecord> all = records(read.topic());
            boolean ends = all.size() > read.from().offset() || !now.isBefore(until) || !canRead();
            if (!ends) {
                long process = incarnation;
                schedule(STEP, () -> {
                    if (process == incarnation) {
                        readFrom(read, startedAtClock, until);
                    }
                });
                return;
            }
            List<TopicRecord> found = List.copyOf(all.subList((int) read.from().offset(), all.size()));
            readEnds(
                    LOG_RESPONSE_TIME,
                    new ForwardingEvent.TopicRead(
                            read.topic(), startedAtClock, false, found, new LogPosition(0, all.size())));
        }

        private boolean canRead() {
            return logAvailable && reachesLog;
        }

        private void readEnds(Duration after, ForwardingEvent.TopicRead read) {
            boolean answered = canRead();
            long process = incarnation;
            schedule(after, () -> {
                if (process == incarnation) {
                    receive(() -> apply(answered ? read : new ForwardingEvent.TopicUnavailable(read.topic())));
                }
            });
        }

        /** Handles something at once, or after the suspension of the process. */
        private void receive(Runnable action) {
            if (isFrozen() || frozenAt.isAfter(Instant.MIN)) {
                delayed.add(action);
            } else {
                action.run();
            }
        }

        private void send(HostId target, PeerMessage message) {
            HostIdentity sender = identity();
            int delay = messageDelayMilliseconds.applyAsInt(message);
            Host receiver = hosts.stream()
                    .filter(host -> host.id.equals(target))
                    .findFirst()
                    .orElseThrow();
            if (delay >= 0 && reachesPeers && receiver.reachesPeers) {
                // A message to an earlier process of the host may reach the next one.
                schedule(
                        Duration.ofMillis(delay),
                        () -> receiver.receive(() -> receiver.apply(
                                new ForwardingEvent.PeerMessageReceived(sender, messageChange.apply(message)))));
            }
        }

        /** Returns the effects since the last call. */
        List<ForwardingEffect> takeEffects() {
            List<ForwardingEffect> result = List.copyOf(effects);
            effects.clear();
            return result;
        }

        /** Sends a request with the key; the listener gets the reason of its refusal, if any, when it is read. */
        void request(String path, Consumer<RefusalReason> listener) {
            exchanges++;
            ForwardRequest request = new ForwardRequest(
                    exchanges,
                    new RequestId("request-" + exchanges),
                    "shop",
                    path,
                    Optional.empty(),
                    Optional.empty(),
                    List.of(),
                    0,
                    0,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.of(KEY),
                    exchanges,
                    List.of());
            receive(() -> ReducerFixture.only(
                            apply(new ForwardingEvent.RequestArrived(request)), ForwardingEffect.Refuse.class)
                    .forEach(refuse -> listener.accept(refuse.reason())));
        }

        /** Returns why a request is refused now; without endpoints an accepted one has {@code NO_ENDPOINT}. */
        RefusalReason refusal(String path) {
            List<RefusalReason> reasons = new ArrayList<>();
            request(path, reasons::add);
            return reasons.get(0);
        }

        boolean accepts() {
            return refusal(KEYED_PATH) == RefusalReason.NO_ENDPOINT;
        }

        ForwardingStatus.KeyStatus keys() {
            return reducer.status(clock()).keys();
        }
    }

    KeyFleet(int hostCount, long seed, TeamSettings terms) {
        random = new Random(seed);
        this.terms = terms;
        for (Topic topic : Topic.values()) {
            log.put(topic, new ArrayList<>());
        }
        publish(true);
        for (int index = 1; index <= hostCount; index++) {
            append(Topic.HOSTS, "host-" + index);
        }
        for (int index = 1; index <= hostCount; index++) {
            hosts.add(new Host(index));
        }
    }

    static TeamSettings strict() {
        return new TeamSettings(true, TERM, Duration.ofSeconds(8), 0.1, 110_000);
    }

    private static HostAnnouncement announcement(HostId host, long incarnation) {
        return new HostAnnouncement(
                host, incarnation, NetworkAddress.parse("10.0.0.1:80"), NetworkAddress.parse("10.0.0.1:81"), "east", 1);
    }

    private List<TopicRecord> records(Topic topic) {
        return log.get(topic);
    }

    private void append(Topic topic, String key) {
        List<TopicRecord> records = records(topic);
        records.add(new TopicRecord(key, Optional.of(new byte[] {1}), new LogPosition(0, records.size())));
    }

    private Optional<DecodedRecord> decode(Topic topic, TopicRecord entry, Instant at) {
        return switch (topic) {
            case CONFIGURATION -> Optional.of(new DecodedRecord.ConfigurationPublished(
                    configurations.get((int) entry.position().offset())));
            case HOSTS -> Optional.of(new DecodedRecord.HostAnnounced(
                    announcement(new HostId(entry.key()), Instant.EPOCH.toEpochMilli())));
            default -> Optional.empty();
        };
    }

    /** Publishes a configuration with two teams, one of which may hold the key. */
    void publish(boolean keyIsValid) {
        publish(new TeamTable(List.of(
                new Team(
                        new TeamName("team-a"),
                        keyIsValid ? Set.of(KEY) : Set.of(),
                        OptionalInt.empty(),
                        Optional.empty()),
                new Team(
                        new TeamName("team-b"),
                        Set.of(KeyDigest.of("another")),
                        OptionalInt.empty(),
                        Optional.empty()))));
    }

    void publish(TeamTable teams) {
        configurations.add(new ForwardingConfiguration(
                configurations.size() + 1,
                List.of(route(KEYED_PATH, false), route(OPEN_PATH, true)),
                List.of(new ServiceDefinition(ReducerFixture.PLAIN_SERVICE, Optional.empty())),
                RequestLimits.DEFAULT,
                teams));
        append(Topic.CONFIGURATION, "config");
    }

    private static Route route(String path, boolean open) {
        return new Route(
                path,
                "shop",
                path,
                false,
                true,
                false,
                Duration.ofSeconds(6),
                Duration.ofSeconds(1),
                Duration.ofSeconds(4),
                2,
                1,
                open,
                List.of(new RouteTarget(ReducerFixture.PLAIN_SERVICE, 1)));
    }

    Random random() {
        return random;
    }

    Instant now() {
        return now;
    }

    List<Host> hosts() {
        return hosts;
    }

    void setLogAvailable(boolean value) {
        logAvailable = value;
    }

    /** Sets the delay of a message when it is sent; a negative one loses it. */
    void setMessageDelay(ToIntFunction<PeerMessage> milliseconds) {
        messageDelayMilliseconds = milliseconds;
    }

    /** Changes messages as they arrive. */
    void setMessageChange(UnaryOperator<PeerMessage> change) {
        messageChange = change;
    }

    private void schedule(Duration after, Runnable action) {
        scheduled.add(new Scheduled(now.plus(after), orders++, action));
    }

    void pass(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            step();
        }
    }

    void step() {
        now = now.plus(STEP);
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(now)) {
            scheduled.poll().action().run();
        }
        hosts.forEach(Host::step);
    }
}
