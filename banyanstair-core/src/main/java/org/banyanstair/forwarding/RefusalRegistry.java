package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.banyanstair.crashes.CrashAttribution;
import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.crashes.EndpointCrash;
import org.banyanstair.crashes.PartRefusal;
import org.banyanstair.crashes.RequestCrashes;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RefusedPart;
import org.banyanstair.peer.ReportedCrash;
import org.banyanstair.peer.ReportedRequest;

/**
 * Knows which requests and which prompt parts crash endpoints, and keeps this knowledge the same on all hosts:
 * heartbeats carry it as state, and the log holds it for hosts that start later.
 */
final class RefusalRegistry {
    /** Time after a crash in which the reports of peers about it arrive: a heartbeat that crosses relays. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1200);

    /** Interval of the search for the cause of crashes. */
    private static final Duration ATTRIBUTION_INTERVAL = Duration.ofMillis(250);

    /** Minimum time between two appends to the log; longer than a read takes to return the record. */
    private static final Duration RECORD_INTERVAL = Duration.ofSeconds(2);

    /** Part of the time of a refusal by which its record in the log may lag behind. */
    private static final Duration EXPIRY_TOLERANCE = Duration.ofMinutes(5);

    private final EventContext context;
    private final RequestCrashes requests = new RequestCrashes();
    private final CrashAttribution parts = new CrashAttribution(SETTLE_TIME);
    private final Map<Long, Instant> recordedParts = new TreeMap<>();
    private Instant nextRecordAt = Instant.MIN;
    private Instant nextAttributionAt = Instant.MIN;
    private Set<Long> refusedRequests = new TreeSet<>();
    private boolean recordAtOnce;
    private boolean refusalsChanged;

    RefusalRegistry(EventContext context) {
        this.context = context;
    }

    /** Returns whether the request, or a part of its prompt, has crashed too many endpoints. */
    boolean isRefused(ForwardRequest request) {
        return fingerprints(request).anyMatch(fingerprint -> requests.isRefused(fingerprint, context.now()))
                || refusedPart(request).isPresent();
    }

    private static Stream<Long> fingerprints(ForwardRequest request) {
        return Stream.concat(Stream.of(request.fingerprint()), request.widerFingerprints().stream());
    }

    /** Returns the part of a request's prompt that crashes endpoints, if any is known. */
    Optional<Long> refusedPart(ForwardRequest request) {
        return parts.refusedPart(request.sharedParts(), context.now());
    }

    int refusedRequests() {
        return refusedRequests.size();
    }

    int refusedParts() {
        return parts.refusals(context.now()).size();
    }

    /** Returns the number of crashes under a request, or similar ones, since an endpoint last completed it. */
    int crashes(ForwardRequest request) {
        return fingerprints(request).mapToInt(this::crashes).max().orElse(0);
    }

    int crashes(long fingerprint) {
        return requests.count(fingerprint, context.now());
    }

    /** Returns whether a crash still counts against the request or one of the suspected parts of its prompt. */
    boolean isOpen(ForwardRequest request, List<Long> suspectedParts, Instant crashedAt) {
        return crashes(request) > 0 || parts.isUndecided(suspectedParts, crashedAt);
    }

    void requestCompleted(ForwardRequest request) {
        fingerprints(request).forEach(fingerprint -> {
            int cleared = requests.completed(fingerprint, context.now());
            if (cleared > 0) {
                context.log(DecisionRecord.important(
                        "request-cleared",
                        "request",
                        request.id(),
                        "fingerprint",
                        fingerprint,
                        "known-crashes",
                        cleared));
            }
        });
        outputProduced(request);
    }

    /** Records that an endpoint has produced output for a request and has survived it. */
    void outputProduced(ForwardRequest request) {
        parts.addOutput(request.sharedParts(), context.now()).forEach(this::logCleared);
    }

    private void logCleared(PartRefusal refusal) {
        context.log(DecisionRecord.important(
                "part-cleared",
                "part",
                Long.toHexString(refusal.part()),
                "first-crash-ms-ago",
                context.millisecondsSince(refusal.firstCrashAt())));
    }

    /**
     * Records that an endpoint crashed while it ran a request.
     *
     * @param report the crash as peers are told of it
     * @param peer host that reported it; empty if this host noticed it
     */
    void addCrash(PeerMessage.CrashReport report, Optional<HostId> peer) {
        Instant crashedAt = context.now().minusMillis(report.ageMilliseconds());
        EndpointCrash crash = new EndpointCrash(report.endpoint(), report.started(), crashedAt, false);
        String source = peer.map(HostId::value).orElse("");
        boolean added = addCrash(report.fingerprint(), true, crash, source);
        for (long fingerprint : report.widerFingerprints()) {
            added |= addCrash(fingerprint, false, crash, source);
        }
        recordAtOnce |= added && peer.isEmpty();
        parts.addCrash(report.endpoint(), report.started(), crashedAt, report.parts(), context.now());
    }

    /**
     * Adds what is known of a crash under a request; returns whether it was unknown.
     *
     * @param exact whether only copies of the request have this fingerprint, and no similar ones
     * @param source where it is known from; empty if this host noticed it
     */
    private boolean addCrash(long fingerprint, boolean exact, EndpointCrash crash, String source) {
        boolean added = requests.add(fingerprint, exact, crash, context.now());
        if (added && !source.isEmpty()) {
            context.log(DecisionRecord.of(
                    "crash-reported",
                    "peer",
                    source,
                    "endpoint",
                    crash.endpoint(),
                    "started",
                    crash.started(),
                    "fingerprint",
                    fingerprint,
                    "exact",
                    exact,
                    "cleared",
                    crash.cleared(),
                    "known-crashes",
                    crashes(fingerprint)));
        }
        return added;
    }

    private void updateRefusedRequests(Instant now) {
        Set<Long> refused = requests.refused(now);
        Set<Long> added = new TreeSet<>(refused);
        added.removeAll(refusedRequests);
        refusedRequests.removeAll(refused);
        refusedRequests.forEach(fingerprint -> logRefusal("request-admitted", fingerprint));
        added.forEach(fingerprint -> logRefusal("request-refused", fingerprint));
        refusalsChanged |= !added.isEmpty();
        refusedRequests = refused;
    }

    private void logRefusal(String kind, long fingerprint) {
        context.log(DecisionRecord.important(kind, "fingerprint", fingerprint, "known-crashes", crashes(fingerprint)));
    }

    /**
     * Returns what peers need to know of requests that crash endpoints.
     *
     * @param complete whether the receiver may know nothing of what was reported before
     */
    List<ReportedRequest> requestReport(boolean complete) {
        return requests.report(complete, context.now()).stream()
                .map(request -> new ReportedRequest(
                        request.fingerprint(),
                        request.exact(),
                        request.crashes().stream()
                                .map(crash -> new ReportedCrash(
                                        crash.endpoint(),
                                        crash.started(),
                                        context.millisecondsSince(crash.at()),
                                        crash.cleared()))
                                .toList()))
                .toList();
    }

    /** Adds what a peer knows of requests that crash endpoints. */
    void requestsReported(HostId sender, List<ReportedRequest> reported) {
        for (ReportedRequest request : reported) {
            for (ReportedCrash crash : request.crashes()) {
                Instant at = context.now().minusMillis(crash.ageMilliseconds());
                addCrash(
                        request.fingerprint(),
                        request.exact(),
                        new EndpointCrash(crash.endpoint(), crash.started(), at, crash.cleared()),
                        sender.value());
            }
        }
    }

    /** Adds what the log holds of a request that crashes endpoints. */
    void requestRead(CrashedRequest request) {
        requests.recordRead(request);
        request.crashes().forEach(crash -> addCrash(request.fingerprint(), request.exact(), crash, "log"));
    }

    /** Returns what peers need to know of prompt parts. */
    PartEvidence partEvidence() {
        return parts.evidence(context.now());
    }

    void partsReported(HostId sender, PartEvidence evidence) {
        Instant now = context.now();
        for (ObservedPart observed : evidence.observed()) {
            parts.addPeerOutput(observed.part(), now.minusMillis(observed.ageMilliseconds()))
                    .ifPresent(this::logCleared);
        }
        for (RefusedPart refused : evidence.refused()) {
            boolean adopted = parts.adopt(
                    new PartRefusal(
                            refused.part(),
                            0,
                            now.minusMillis(refused.firstCrashAgeMilliseconds()),
                            now.plusMillis(refused.remainingMilliseconds())),
                    now);
            if (adopted) {
                refusalsChanged = true;
                context.log(DecisionRecord.important(
                        "part-refused",
                        "part",
                        Long.toHexString(refused.part()),
                        "peer",
                        sender,
                        "first-crash-ms-ago",
                        refused.firstCrashAgeMilliseconds()));
            }
        }
    }

    /** Applies a refusal that was read from the log. A part with any known output is not refused. */
    void partRefusalRead(DecodedRecord.PartRefused refused) {
        recordedParts.put(refused.part(), refused.expiresAt());
        if (parts.adopt(new PartRefusal(refused.part(), 0, Instant.EPOCH, refused.expiresAt()), context.now())) {
            refusalsChanged = true;
            context.log(DecisionRecord.important(
                    "part-refused",
                    "part",
                    Long.toHexString(refused.part()),
                    "remaining-ms",
                    Duration.between(context.now(), refused.expiresAt()).toMillis()));
        }
    }

    /** Records that the log was restored from a copy; what it holds is read again. */
    void logRestored() {
        recordedParts.clear();
        requests.forgetRecorded();
    }

    /** Records changes of the refused parts in the log, so that they survive a restart of all hosts. */
    private void recordPartRefusals(Instant now) {
        Map<Long, Instant> refused = new TreeMap<>();
        parts.refusals(now).forEach(refusal -> refused.put(refusal.part(), refusal.expiresAt()));
        refused.forEach((part, expiresAt) -> {
            Instant known = recordedParts.getOrDefault(part, Instant.MIN);
            if (known.isBefore(expiresAt.minus(EXPIRY_TOLERANCE))) {
                appendRefusal(part, expiresAt);
            }
        });
        recordedParts.forEach((part, expiresAt) -> {
            if (now.isBefore(expiresAt) && !refused.containsKey(part)) {
                appendRefusal(part, now);
            }
        });
    }

    private void appendRefusal(long part, Instant expiresAt) {
        context.emit(new ForwardingEffect.AppendPartRefusal(new DecodedRecord.PartRefused(part, expiresAt)));
    }

    private void recordRequests(Instant now) {
        requests.unrecorded(now).forEach(request -> context.emit(new ForwardingEffect.AppendCrashedRequest(request)));
    }

    /**
     * Looks for the cause of crashes and records refusals; returns whether further requests are refused since the last
     * call.
     *
     * @param writesLog whether this host records in the log for its peers what they know
     */
    boolean tick(boolean writesLog) {
        Instant now = context.now();
        if (writesLog && !now.isBefore(nextRecordAt)) {
            nextRecordAt = now.plus(RECORD_INTERVAL);
            recordPartRefusals(now);
            recordRequests(now);
        } else if (recordAtOnce) {
            recordRequests(now);
        }
        recordAtOnce = false;
        updateRefusedRequests(now);
        if (!now.isBefore(nextAttributionAt)) {
            nextAttributionAt = now.plus(ATTRIBUTION_INTERVAL);
            parts.attribute(now).ifPresent(refusal -> {
                refusalsChanged = true;
                context.log(DecisionRecord.important(
                        "part-refused",
                        "part",
                        Long.toHexString(refusal.part()),
                        "crashes",
                        refusal.crashes(),
                        "first-crash-ms-ago",
                        context.millisecondsSince(refusal.firstCrashAt())));
            });
        }
        boolean changed = refusalsChanged;
        refusalsChanged = false;
        return changed;
    }
}
