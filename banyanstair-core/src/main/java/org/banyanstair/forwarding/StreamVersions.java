package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.banyanstair.external.Topic;
import org.banyanstair.model.HostId;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.versions.ServiceVersions;
import org.banyanstair.versions.SoftwareVersion;
import org.banyanstair.versions.StreamBatch;
import org.banyanstair.versions.StreamOrigin;
import org.banyanstair.versions.StreamOrigins;

/**
 * Knows which software version began each stream that may be resumed, so that only that version continues it.
 *
 * <p>While several versions may have begun the streams of a service, hosts tell each other of the streams that they pass
 * on, and one host records them in the log for hosts that start later. Where the version of a stream cannot be known, it
 * is not resumed.
 */
final class StreamVersions {
    /** Time for which a request to resume a stream waits for a read of the log that may name its version. */
    private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(300);

    /** Age of the knowledge of endpoints up to which a host without contact to its peers knows all versions. */
    private static final Duration KNOWLEDGE_LIMIT = Duration.ofSeconds(3);

    /** Interval of the search for versions that serve, short compared to the time for which one serves. */
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(500);

    /** Time for which streams are collected for one record of the log. */
    private static final Duration RECORD_INTERVAL = Duration.ofMillis(250);

    /** Time after which an unanswered append is repeated. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);

    /** Time for which a host that does not record streams keeps them, in case it has to take over. */
    private static final Duration TAKEOVER_TIME = Duration.ofSeconds(3);

    /** Time after the deadline of a stream's request in which its caller may still resume it. */
    private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(30);

    /** Messages to peers that name each stream; a lost one is made good. */
    private static final int ANNOUNCEMENTS = 2;

    private final EventContext context;
    private final PlatformView view;
    private final PeerTable peers;
    private final HostId self;
    private final StreamOrigins origins = new StreamOrigins();
    private final ServiceVersions versions = new ServiceVersions();
    private final Map<RequestId, OwnStream> ownStreams = new HashMap<>();
    private final Deque<KnownStream> unrecorded = new ArrayDeque<>();
    private final Map<String, Set<SoftwareVersion>> recordedVersions = new HashMap<>();
    private List<StreamBatch> pendingAppend = List.of();
    private Instant appendPendingUntil = Instant.MIN;
    private Instant nextObservationAt = Instant.MIN;
    private Instant nextRecordAt = Instant.MIN;
    private Instant resumedAt = Instant.MIN;

    /** A stream that this host passes on. */
    private record OwnStream(StreamOrigin origin, int announcements) {}

    /** A stream that may not have been recorded in the log. */
    private record KnownStream(RequestId request, StreamOrigin origin, Instant knownSince) {}

    /** Whether a request may be sent, and to which version. */
    sealed interface Decision {
        /** Any version may run the request, since it begins a stream or is none. */
        record Any() implements Decision {}

        /** Only the version that began the stream may run the request. */
        record Only(SoftwareVersion version) implements Decision {}

        /** A read of the log may tell the version. */
        record Wait() implements Decision {}

        /** Several versions may have begun the stream, and it is unknown which, or another service began it. */
        record Unknown() implements Decision {}
    }

    StreamVersions(EventContext context, PlatformView view, PeerTable peers, HostId self) {
        this.context = context;
        this.view = view;
        this.peers = peers;
        this.self = self;
    }

    /** Returns the service that began the stream that a request resumes; empty if it resumes none or that is unknown. */
    Optional<String> serviceOf(ForwardRequest request) {
        return request.resumeAfter().isEmpty()
                ? Optional.empty()
                : request.resumes().flatMap(origins::find).map(StreamOrigin::service);
    }

    /** Decides which version may run a request. */
    Decision decide(InFlightRequest inFlight) {
        if (!inFlight.route.streaming() || inFlight.request.resumeAfter().isEmpty()) {
            return new Decision.Any();
        }
        String service = inFlight.service.name();
        Optional<StreamOrigin> origin = inFlight.request.resumes().flatMap(origins::find);
        if (origin.isPresent()) {
            return origin.get().service().equals(service)
                    ? new Decision.Only(origin.get().version())
                    : new Decision.Unknown();
        }
        Set<SoftwareVersion> possible = possibleVersions(service);
        if (possible.size() <= 1 && knowsAllVersions()) {
            return possible.isEmpty()
                    ? new Decision.Any()
                    : new Decision.Only(possible.iterator().next());
        }
        return mayLearnMore(inFlight) ? new Decision.Wait() : new Decision.Unknown();
    }

    private Set<SoftwareVersion> possibleVersions(String service) {
        observe(service);
        return versions.possible(service, context.now());
    }

    private void observe(String service) {
        view.endpointsOf(service)
                .forEach(endpoint -> versions.served(service, endpoint.listing().softwareVersion(), context.now()));
    }

    /** Returns whether no version can serve without this host's knowledge. */
    private boolean knowsAllVersions() {
        TopicConsumer endpoints = view.consumer(Topic.ENDPOINTS);
        boolean readSinceResumed = endpoints
                .age(context.now())
                .filter(age -> !context.now().minus(age).isBefore(resumedAt))
                .isPresent();
        boolean readLately = endpoints
                .age(context.now())
                .filter(age -> age.compareTo(KNOWLEDGE_LIMIT) <= 0)
                .isPresent();
        return readSinceResumed
                && view.consumer(Topic.STREAMS).isCurrent()
                && (readLately || peers.reachesMajority(context.now()));
    }

    /** Returns whether a request waits for a read of the log that began after it arrived; starts that read. */
    private boolean mayLearnMore(InFlightRequest inFlight) {
        Instant limit = inFlight.readAt.plus(LOOKUP_TIMEOUT);
        TopicConsumer streams = view.consumer(Topic.STREAMS);
        boolean readSince = streams.age(context.now())
                .filter(age -> context.now().minus(age).isAfter(inFlight.readAt))
                .isPresent();
        if (readSince && knowsAllVersions() || !context.now().isBefore(limit)) {
            return false;
        }
        streams.readImmediately(context.now());
        return true;
    }

    /**
     * Records that an endpoint has begun to write a stream, or goes on with it.
     *
     * @param version version of the process that writes it
     */
    void began(InFlightRequest inFlight, SoftwareVersion version) {
        RequestId first = inFlight.request.resumes().orElse(inFlight.request.id());
        Instant expiresAt = inFlight.latestDeadline.plus(EXPIRY_MARGIN);
        StreamOrigin origin = new StreamOrigin(inFlight.service.name(), version, expiresAt);
        origins.put(first, origin, context.now());
        ownStreams.put(first, new OwnStream(origin, 0));
    }

    /**
     * Returns the streams of this host that peers have to know of: those of services with several versions.
     *
     * @param complete whether streams are named again, for peers that missed a message
     */
    List<BegunStreams> report(boolean complete) {
        Instant now = context.now();
        if (complete) {
            ownStreams.values().removeIf(stream -> now.isAfter(stream.origin().expiresAt()));
        }
        Set<String> mixedServices = versions.mixedServices(now);
        if (mixedServices.isEmpty()) {
            return List.of();
        }
        Map<RequestId, StreamOrigin> reported = new HashMap<>();
        ownStreams.replaceAll((request, stream) -> {
            boolean due = stream.announcements() == 0 || complete && stream.announcements() < ANNOUNCEMENTS;
            if (!due || !mixedServices.contains(stream.origin().service())) {
                return stream;
            }
            reported.put(request, stream.origin());
            if (stream.announcements() == 0) {
                unrecorded.add(new KnownStream(request, stream.origin(), now));
            }
            return new OwnStream(stream.origin(), stream.announcements() + 1);
        });
        return batches(reported).stream()
                .map(batch -> new BegunStreams(
                        batch.service(),
                        batch.version().value(),
                        batch.requests().stream().map(RequestId::value).toList(),
                        Duration.between(now, batch.expiresAt()).toMillis()))
                .toList();
    }

    private static List<StreamBatch> batches(Map<RequestId, StreamOrigin> streams) {
        Map<String, Map<SoftwareVersion, List<RequestId>>> grouped = new TreeMap<>();
        streams.forEach((request, origin) -> grouped.computeIfAbsent(origin.service(), service -> new TreeMap<>())
                .computeIfAbsent(origin.version(), version -> new ArrayList<>())
                .add(request));
        List<StreamBatch> batches = new ArrayList<>();
        grouped.forEach((service, byVersion) -> byVersion.forEach((version, requests) -> batches.add(new StreamBatch(
                service,
                version,
                requests,
                requests.stream()
                        .map(request -> streams.get(request).expiresAt())
                        .max(Instant::compareTo)
                        .orElseThrow()))));
        return batches;
    }

    /** Adds what a peer has passed on. */
    void reported(List<BegunStreams> streams) {
        Instant now = context.now();
        for (BegunStreams begun : streams) {
            StreamBatch batch = new StreamBatch(
                    begun.service(),
                    new SoftwareVersion(begun.version()),
                    begun.requests().stream().map(RequestId::new).toList(),
                    now.plusMillis(begun.remainingMilliseconds()));
            versions.served(batch.service(), batch.version(), now);
            StreamOrigin origin = new StreamOrigin(batch.service(), batch.version(), batch.expiresAt());
            for (RequestId request : batch.requests()) {
                origins.put(request, origin, now);
                unrecorded.add(new KnownStream(request, origin, now));
            }
        }
    }

    /** Adds what the log holds of streams. */
    void streamsRead(List<StreamBatch> batches) {
        batches.stream()
                .filter(batch -> batch.expiresAt().isAfter(context.now()))
                .forEach(batch -> origins.putIfUnknown(batch, context.now()));
    }

    /**
     * Adds what the log holds of the versions of a service.
     *
     * @param served when each version served last, {@link Instant#MAX} for one that served when it was recorded
     */
    void versionsRead(String service, Map<SoftwareVersion, Instant> served) {
        Set<SoftwareVersion> serving = new TreeSet<>();
        served.forEach((version, at) -> {
            boolean serves = at.equals(Instant.MAX);
            versions.served(service, version, serves ? context.now() : at);
            if (serves) {
                serving.add(version);
            }
        });
        recordedVersions.put(service, serving);
    }

    /** Records that the log was restored from a copy, which may lack what was recorded last. */
    void logRestored() {
        recordedVersions.clear();
        Instant now = context.now();
        origins.unexpired(now).forEach((request, origin) -> unrecorded.add(new KnownStream(request, origin, now)));
    }

    /** Discards the knowledge that no other version serves, after a suspension of the process. */
    void suspended() {
        resumedAt = context.now();
        view.consumer(Topic.ENDPOINTS).restartRead(context.now());
    }

    void appendCompleted() {
        pendingAppend = List.of();
    }

    /**
     * Observes which versions serve, and records streams and versions.
     *
     * @param recordsForPeers whether this host is the one that records in the log what all know
     */
    void tick(boolean recordsForPeers) {
        Instant now = context.now();
        if (!now.isBefore(nextObservationAt)) {
            nextObservationAt = now.plus(OBSERVATION_INTERVAL);
            resumableServices().forEach(this::observe);
            while (!unrecorded.isEmpty() && isObsolete(unrecorded.peek(), now)) {
                unrecorded.remove();
            }
            if (recordsForPeers && view.consumer(Topic.STREAMS).isCurrent()) {
                resumableServices().forEach(this::recordVersions);
            }
        }
        if (recordsForPeers && view.consumer(Topic.STREAMS).isCurrent() && !now.isBefore(nextRecordAt)) {
            nextRecordAt = now.plus(RECORD_INTERVAL);
            recordStreams();
        }
    }

    /** Returns whether the host that records streams must have recorded a stream, or it need not be recorded. */
    private static boolean isObsolete(KnownStream stream, Instant now) {
        return now.isAfter(stream.knownSince().plus(TAKEOVER_TIME));
    }

    private Set<String> resumableServices() {
        return view.configuration()
                .map(ForwardingConfiguration::resumableServices)
                .orElse(Set.of());
    }

    private void recordVersions(String service) {
        Set<SoftwareVersion> serving = view.endpointsOf(service).stream()
                .filter(endpoint -> endpoint.condition(context.now()) != EndpointCondition.GONE)
                .map(endpoint -> endpoint.listing().softwareVersion())
                .collect(Collectors.toCollection(TreeSet::new));
        if (serving.isEmpty() || serving.equals(recordedVersions.get(service))) {
            return;
        }
        Map<SoftwareVersion, Instant> served = new TreeMap<>(versions.lastServed(service, context.now()));
        serving.forEach(version -> served.put(version, Instant.MAX));
        recordedVersions.put(service, serving);
        context.emit(new ForwardingEffect.AppendVersions(service, served));
        context.log(DecisionRecord.important("versions-recorded", "service", service, "serving", serving));
    }

    private void recordStreams() {
        Instant now = context.now();
        if (!pendingAppend.isEmpty() && now.isBefore(appendPendingUntil)) {
            return;
        }
        Map<RequestId, StreamOrigin> streams = new HashMap<>();
        Set<String> mixedServices = versions.mixedServices(now);
        unrecorded.removeIf(stream -> {
            boolean mixed = mixedServices.contains(stream.origin().service());
            if (mixed) {
                streams.put(stream.request(), stream.origin());
            }
            return mixed;
        });
        List<StreamBatch> batches = new ArrayList<>(pendingAppend);
        batches.addAll(batches(streams));
        if (!batches.isEmpty()) {
            pendingAppend = batches;
            appendPendingUntil = now.plus(APPEND_TIMEOUT);
            context.emit(new ForwardingEffect.AppendStreams(self, batches));
        }
    }
}
