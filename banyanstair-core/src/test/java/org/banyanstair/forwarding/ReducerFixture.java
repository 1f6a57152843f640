package org.banyanstair.forwarding;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;
import org.banyanstair.versions.SoftwareVersion;

/** A reducer whose platform topics are written by the test. */
final class ReducerFixture {
    static final HostId HOST = new HostId("host-1");

    static final String SERVICE = "runners";

    static final String PLAIN_SERVICE = "desk";

    static final AdapterName ADAPTER = new AdapterName("base", "a1");

    private final Map<String, DecodedRecord> records = new HashMap<>();
    private final HostId host;
    private final long incarnation;
    private final ForwardingReducer reducer;
    private Instant now;
    private long era;
    private long offset;
    private long exchanges;

    ReducerFixture() {
        this(HOST);
    }

    ReducerFixture(HostId host) {
        this(host, 1, Instant.ofEpochSecond(100));
    }

    /** Creates the reducer of one run of a host that starts at an instant. */
    ReducerFixture(HostId host, long incarnation, Instant start) {
        this(host, incarnation, start, "east", LocalitySettings.DISABLED);
    }

    ReducerFixture(HostId host, long incarnation, Instant start, String dataCentre, LocalitySettings locality) {
        this.host = host;
        this.incarnation = incarnation;
        this.now = start;
        HostAnnouncement announcement = new HostAnnouncement(
                host,
                incarnation,
                NetworkAddress.parse("10.0.0.1:80"),
                NetworkAddress.parse("10.0.0.1:81"),
                dataCentre,
                1);
        ForwardingSettings settings = new ForwardingSettings(
                identity(),
                announcement,
                true,
                0.2,
                50,
                Duration.ofSeconds(3),
                Duration.ofSeconds(5),
                TeamSettings.DEFAULT,
                locality);
        reducer = new ForwardingReducer(
                settings, (topic, entry, at) -> Optional.ofNullable(records.get(entry.key() + entry.position())));
        read(Topic.HOSTS, List.of());
        read(Topic.CLAIMS, List.of());
        read(Topic.STREAMS, List.of());
    }

    HostIdentity identity() {
        return new HostIdentity(host, incarnation);
    }

    Instant now() {
        return now;
    }

    ForwardingReducer reducer() {
        return reducer;
    }

    List<ForwardingEffect> apply(ForwardingEvent event) {
        return reducer.apply(event, now);
    }

    /** Advances time in ticks and returns all effects; each tick ends with an answered read of the claims. */
    List<ForwardingEffect> pass(Duration time) {
        List<ForwardingEffect> effects = new ArrayList<>();
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plusMillis(20);
            effects.addAll(apply(new ForwardingEvent.Tick()));
            effects.addAll(apply(
                    new ForwardingEvent.TopicRead(Topic.CLAIMS, now, false, List.of(), new LogPosition(era, offset))));
        }
        return effects;
    }

    /** Advances time without any event, as while the process does not run. */
    void standStill(Duration time) {
        now = now.plus(time);
    }

    /** Advances time while the log does not answer. */
    List<ForwardingEffect> passWithoutReads(Duration time) {
        List<ForwardingEffect> effects = new ArrayList<>();
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plusMillis(20);
            effects.addAll(apply(new ForwardingEvent.Tick()));
        }
        return effects;
    }

    private void read(Topic topic, List<TopicRecord> records) {
        apply(new ForwardingEvent.TopicRead(topic, now, false, records, new LogPosition(era, offset)));
    }

    List<ForwardingEffect> publish(Topic topic, String key, DecodedRecord decoded) {
        records.put(key + position(), decoded);
        TopicRecord entry = new TopicRecord(key, Optional.of(value(decoded)), new LogPosition(era, offset));
        offset++;
        return apply(new ForwardingEvent.TopicRead(topic, now, false, List.of(entry), new LogPosition(era, offset)));
    }

    private static byte[] value(DecodedRecord decoded) {
        return decoded.toString().getBytes(StandardCharsets.UTF_8);
    }

    private LogPosition position() {
        return new LogPosition(era, offset);
    }

    /** Restores the log from a copy in which a topic holds the given records, and reads it. */
    List<ForwardingEffect> restore(Topic topic, Map<String, DecodedRecord> copy) {
        era++;
        offset = 0;
        List<TopicRecord> entries = new ArrayList<>();
        copy.forEach((key, decoded) -> {
            define(key, decoded);
            entries.add(new TopicRecord(key, Optional.of(value(decoded)), position()));
            offset++;
        });
        return apply(new ForwardingEvent.TopicRead(topic, now, true, entries, position()));
    }

    /** Sets the content of the record at the next offset without reading it. */
    void define(String key, DecodedRecord decoded) {
        records.put(key + position(), decoded);
    }

    /** Sets the content of the record at a position of another era. */
    void define(String key, LogPosition at, DecodedRecord decoded) {
        records.put(key + at, decoded);
    }

    /** Returns the offset that the next record will have. */
    long nextOffset() {
        return offset;
    }

    List<ForwardingEffect> removed(Topic topic, String key) {
        TopicRecord entry = new TopicRecord(key, Optional.empty(), new LogPosition(era, offset));
        offset++;
        return apply(new ForwardingEvent.TopicRead(topic, now, false, List.of(entry), new LogPosition(era, offset)));
    }

    void configure(long version, Route... routes) {
        configure(version, 2, routes);
    }

    /** Publishes a first configuration whose runners have the given number of adapter slots. */
    void configureEngine(int adapterSlots, Route... routes) {
        configure(1, adapterSlots, routes);
    }

    /** Publishes a configuration whose requests need the key of a team. */
    List<ForwardingEffect> configureTeams(long version, TeamTable teams, Route... routes) {
        return configure(version, 2, teams, routes);
    }

    private void configure(long version, int adapterSlots, Route... routes) {
        configure(version, adapterSlots, TeamTable.NONE, routes);
    }

    private List<ForwardingEffect> configure(long version, int adapterSlots, TeamTable teams, Route... routes) {
        ServiceDefinition engine = new ServiceDefinition(
                SERVICE,
                Optional.of(new EngineCapacity(adapterSlots, 100_000, 80_000, List.of(new BaseModel("base", 70_000)))));
        ServiceDefinition plain = new ServiceDefinition(PLAIN_SERVICE, Optional.empty());
        return publish(
                Topic.CONFIGURATION,
                "config",
                new DecodedRecord.ConfigurationPublished(new ForwardingConfiguration(
                        version, List.of(routes), List.of(engine, plain), RequestLimits.DEFAULT, teams)));
    }

    static Route route(String path, String service, boolean streaming, boolean idempotent, boolean resumable) {
        return new Route(
                path,
                "shop",
                path,
                streaming,
                idempotent,
                resumable,
                Duration.ofSeconds(6),
                Duration.ofSeconds(1),
                Duration.ofSeconds(4),
                2,
                1,
                false,
                List.of(new RouteTarget(service, 1)));
    }

    void endpoint(String id, String service, boolean draining, long started, String... adapters) {
        endpointIn("east", id, service, draining, started, adapters);
    }

    void endpointIn(String dataCentre, String id, String service, boolean draining, long started, String... adapters) {
        List<LoadedAdapter> loaded = new ArrayList<>();
        for (String adapter : adapters) {
            loaded.add(new LoadedAdapter(new AdapterName("base", adapter), 1));
        }
        publish(
                Topic.ENDPOINTS,
                id,
                new DecodedRecord.EndpointListed(listing(dataCentre, id, service, draining, started, loaded)));
    }

    static EndpointListing listing(
            String dataCentre, String id, String service, boolean draining, long started, List<LoadedAdapter> loaded) {
        return new EndpointListing(
                new EndpointId(id),
                service,
                NetworkAddress.parse("10.0.1.1:" + (1000 + Math.abs(id.hashCode()) % 1000)),
                dataCentre,
                6,
                draining,
                Optional.empty(),
                started,
                Set.of("base"),
                loaded,
                0,
                new SoftwareVersion("v1"));
    }

    /** Publishes the entry of an endpoint of the plain service with a software version. */
    void endpointOf(SoftwareVersion version, String id, boolean draining, long started) {
        EndpointListing plain = listing("east", id, PLAIN_SERVICE, draining, started, List.of());
        publish(
                Topic.ENDPOINTS,
                id,
                new DecodedRecord.EndpointListed(new EndpointListing(
                        plain.id(),
                        plain.service(),
                        plain.address(),
                        plain.dataCentre(),
                        plain.slots(),
                        plain.draining(),
                        plain.terminatesAt(),
                        plain.started(),
                        plain.baseModels(),
                        plain.adapters(),
                        plain.commandSequence(),
                        version)));
    }

    /** Returns a request that resumes a stream that another request began. */
    ForwardRequest resuming(RequestId first, String path, Duration patience) {
        ForwardRequest plain = request(path, Optional.empty(), patience);
        return new ForwardRequest(
                plain.exchange(),
                plain.id(),
                plain.host(),
                plain.path(),
                plain.baseModel(),
                plain.adapter(),
                plain.prompt(),
                plain.inputTokens(),
                plain.outputTokens(),
                plain.callerDeadline(),
                Optional.of(4L),
                Optional.of(first),
                plain.key(),
                plain.fingerprint(),
                plain.widerFingerprints());
    }

    ForwardRequest request(String path, Optional<AdapterName> adapter, Duration patience) {
        exchanges++;
        List<PromptPart> prompt =
                adapter.isPresent() ? List.of(new PromptPart(1, 3000), new PromptPart(exchanges, 500)) : List.of();
        return new ForwardRequest(
                exchanges,
                new RequestId("request-" + exchanges),
                "shop",
                path,
                adapter.map(AdapterName::baseModel),
                adapter,
                prompt,
                adapter.isPresent() ? 3500 : 0,
                adapter.isPresent() ? 50 : 0,
                Optional.of(now.plus(patience)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                77,
                List.of());
    }

    /** Returns a request of a caller that sends a key. */
    ForwardRequest keyedRequest(String path, KeyDigest key, Duration patience) {
        ForwardRequest plain = request(path, Optional.empty(), patience);
        return new ForwardRequest(
                plain.exchange(),
                plain.id(),
                plain.host(),
                plain.path(),
                plain.baseModel(),
                plain.adapter(),
                plain.prompt(),
                plain.inputTokens(),
                plain.outputTokens(),
                plain.callerDeadline(),
                plain.resumeAfter(),
                plain.resumes(),
                Optional.of(key),
                plain.fingerprint(),
                plain.widerFingerprints());
    }

    static <T> List<T> only(List<ForwardingEffect> effects, Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
