package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.banyanstair.crashes.CrashAttribution;
import org.banyanstair.crashes.PartRefusal;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RefusedPart;

/**
 * Distinguishes crashes of endpoints from lost connections, and refuses requests that crash endpoints: the same request
 * sent again, or any with a prompt part that does.
 */
final class CrashDetector {
    /**
     * Longest time between a broken attempt and the evidence that its endpoint crashed; the entry of a crashed endpoint
     * lapses after more than four seconds.
     */
    private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(6);

    /** Time between two attempts on one endpoint that broke in the same crash, on different hosts. */
    private static final Duration SAME_CRASH = Duration.ofSeconds(1);

    /** Output shortly before a crash does not clear a request, since a runner may send its first output as it fails. */
    private static final Duration FIRST_OUTPUT_DOUBT = Duration.ofMillis(300);

    /** Time after a crash in which the reports of peers about it arrive: a heartbeat that crosses relays. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1200);

    /** Minimum time between two checks of an endpoint. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Interval of the search for the cause of crashes. */
    private static final Duration ATTRIBUTION_INTERVAL = Duration.ofMillis(250);

    /** Times after a crash at which its report is sent again, since messages may be lost. */
    private static final List<Duration> RESEND_TIMES = List.of(Duration.ofMillis(1000), Duration.ofMillis(3000));

    /** Minimum time between two appends of a refusal; longer than a read takes to return the record. */
    private static final Duration RECORD_INTERVAL = Duration.ofSeconds(2);

    /** Part of the time of a refusal by which its record in the log may lag behind. */
    private static final Duration EXPIRY_TOLERANCE = Duration.ofMinutes(5);

    private final EventContext context;
    private final PeerMessenger messenger;
    private final CrashHistory history = new CrashHistory();
    private final CrashAttribution attribution = new CrashAttribution(SETTLE_TIME);
    private final Deque<Suspicion> suspicions = new ArrayDeque<>();
    private final List<Resend> resends = new ArrayList<>();
    private final Map<EndpointId, Instant> nextChecks = new HashMap<>();
    private final Map<Long, Instant> recorded = new TreeMap<>();
    private Instant nextRecordAt = Instant.MIN;
    private Instant nextAttributionAt = Instant.MIN;
    private boolean refusalsChanged;

    /**
     * A broken attempt whose endpoint may have crashed.
     *
     * @param outputAt when the caller's first output arrived; empty if there was none
     */
    private record Suspicion(
            ForwardRequest request,
            EndpointId endpoint,
            long started,
            Instant sentAt,
            Optional<Instant> outputAt,
            Instant brokenAt,
            Instant expiresAt) {
        /** Returns the prompt parts that may have caused the crash. */
        private List<Long> suspectedParts() {
            boolean hadOutput = outputAt.filter(at -> brokenAt.isAfter(at.plus(FIRST_OUTPUT_DOUBT)))
                    .isPresent();
            return hadOutput ? List.of() : request.sharedParts();
        }
    }

    /** A report that is sent again. */
    private record Resend(Suspicion suspicion, Instant dueAt) {}

    CrashDetector(EventContext context, PeerMessenger messenger) {
        this.context = context;
        this.messenger = messenger;
    }

    /** Returns whether the request, or a part of its prompt, has crashed too many endpoints. */
    boolean isRefused(ForwardRequest request) {
        return history.isRefused(request.fingerprint()) || refusedPart(request).isPresent();
    }

    /** Returns the part of a request's prompt that crashes endpoints, if any is known. */
    Optional<Long> refusedPart(ForwardRequest request) {
        return attribution.refusedPart(request.sharedParts(), context.now());
    }

    int refusedParts() {
        return attribution.refusals(context.now()).size();
    }

    int refusedRequests() {
        return history.refusals();
    }

    /** Returns the number of crashes of endpoints under a request, as far as this host knows. */
    int crashes(ForwardRequest request) {
        return history.count(request.fingerprint());
    }

    void requestCompleted(ForwardRequest request) {
        int crashes = history.completed(request.fingerprint());
        if (crashes > 0) {
            context.log(DecisionRecord.important(
                    "request-cleared",
                    "request",
                    request.id(),
                    "fingerprint",
                    request.fingerprint(),
                    "known-crashes",
                    crashes));
        }
        outputProduced(request);
    }

    /** Records that an endpoint has produced output for a request and has survived it. */
    void outputProduced(ForwardRequest request) {
        attribution.addOutput(request.sharedParts(), context.now()).forEach(this::logCleared);
    }

    private void logCleared(PartRefusal refusal) {
        context.log(DecisionRecord.important(
                "part-cleared",
                "part",
                Long.toHexString(refusal.part()),
                "first-crash-ms-ago",
                context.millisecondsSince(refusal.firstCrashAt())));
    }

    void attemptBroken(InFlightRequest inFlight, EndpointState endpoint) {
        while (!suspicions.isEmpty()
                && context.now().isAfter(suspicions.peekFirst().expiresAt())) {
            suspicions.removeFirst();
        }
        suspicions.addLast(new Suspicion(
                inFlight.request,
                endpoint.id(),
                endpoint.listing().started(),
                inFlight.sentAt,
                inFlight.firstOutput ? Optional.of(inFlight.firstOutputAt) : Optional.empty(),
                context.now(),
                context.now().plus(CONFIRMATION_LIMIT)));
        check(endpoint);
    }

    /** Checks at once whether the endpoint is gone, since without further requests that would be known late. */
    private void check(EndpointState endpoint) {
        Instant now = context.now();
        nextChecks.values().removeIf(next -> !now.isBefore(next));
        if (nextChecks.putIfAbsent(endpoint.id(), now.plus(CHECK_INTERVAL)) == null) {
            context.emit(new ForwardingEffect.CheckConnection(
                    endpoint.id(),
                    endpoint.listing().address(),
                    endpoint.listing().started()));
        }
    }

    void connectionRefused(ForwardingEvent.ConnectionRefused event) {
        confirm(suspicion -> suspicion.endpoint().equals(event.endpoint()) && suspicion.started() == event.started());
    }

    /**
     * Records a crash for the attempts that broke lately on an endpoint that refuses connections, has restarted or is
     * no longer listed.
     */
    void endpointLost(EndpointState endpoint) {
        confirm(suspicion -> suspicion.endpoint().equals(endpoint.id()));
    }

    private void confirm(Predicate<Suspicion> selected) {
        Iterator<Suspicion> iterator = suspicions.iterator();
        while (iterator.hasNext()) {
            Suspicion suspicion = iterator.next();
            if (context.now().isAfter(suspicion.expiresAt())) {
                iterator.remove();
            } else if (selected.test(suspicion)) {
                iterator.remove();
                addCrash(suspicion.request().fingerprint(), suspicion.endpoint(), suspicion.started(), "");
                attribution.addCrash(
                        suspicion.endpoint(),
                        suspicion.started(),
                        suspicion.brokenAt(),
                        suspicion.suspectedParts(),
                        context.now());
                context.log(crashRecord(suspicion));
                report(suspicion);
                RESEND_TIMES.forEach(
                        delay -> resends.add(new Resend(suspicion, context.now().plus(delay))));
            }
        }
    }

    /**
     * Counts a crash under a request.
     *
     * @param peer host that reported it; empty if this host noticed it
     */
    private void addCrash(long fingerprint, EndpointId endpoint, long started, String peer) {
        if (history.add(fingerprint, endpoint, started, context.now())) {
            context.log(DecisionRecord.important(
                    "request-refused",
                    "fingerprint",
                    fingerprint,
                    "known-crashes",
                    history.count(fingerprint),
                    "endpoint",
                    endpoint,
                    "peer",
                    peer));
        }
    }

    private void report(Suspicion suspicion) {
        messenger.broadcast(new PeerMessage.CrashReport(
                suspicion.request().fingerprint(),
                suspicion.endpoint(),
                suspicion.started(),
                suspicion.suspectedParts(),
                context.millisecondsSince(suspicion.brokenAt())));
    }

    private DecisionRecord crashRecord(Suspicion suspicion) {
        Instant brokenAt = suspicion.brokenAt();
        return DecisionRecord.important(
                "endpoint-crashed",
                "endpoint",
                suspicion.endpoint(),
                "started",
                suspicion.started(),
                "request",
                suspicion.request().id(),
                "fingerprint",
                suspicion.request().fingerprint(),
                "known-crashes",
                crashes(suspicion.request()),
                "parts",
                PromptPart.format(suspicion.request().prompt()),
                "sent-ms-before",
                Duration.between(suspicion.sentAt(), brokenAt).toMillis(),
                "output-ms-before",
                suspicion
                        .outputAt()
                        .map(outputAt -> Duration.between(outputAt, brokenAt).toMillis())
                        .orElse(-1L),
                "confirmed-after-ms",
                context.millisecondsSince(brokenAt));
    }

    void crashReported(HostId sender, PeerMessage.CrashReport message) {
        addCrash(message.fingerprint(), message.endpoint(), message.started(), sender.value());
        context.log(DecisionRecord.of(
                "crash-reported",
                "peer",
                sender,
                "endpoint",
                message.endpoint(),
                "started",
                message.started(),
                "fingerprint",
                message.fingerprint(),
                "known-crashes",
                history.count(message.fingerprint())));
        Instant crashedAt = context.now().minusMillis(message.ageMilliseconds());
        attribution.addCrash(message.endpoint(), message.started(), crashedAt, message.parts(), context.now());
        confirm(suspicion -> suspicion.endpoint().equals(message.endpoint())
                && suspicion.started() == message.started()
                && Duration.between(suspicion.brokenAt(), crashedAt).abs().compareTo(SAME_CRASH) <= 0);
    }

    /** Returns what peers need to know of prompt parts. */
    PartEvidence evidence() {
        return attribution.evidence(context.now());
    }

    void evidenceReceived(HostId sender, PartEvidence evidence) {
        Instant now = context.now();
        for (ObservedPart observed : evidence.observed()) {
            attribution
                    .addPeerOutput(observed.part(), now.minusMillis(observed.ageMilliseconds()))
                    .ifPresent(this::logCleared);
        }
        for (RefusedPart refused : evidence.refused()) {
            boolean adopted = attribution.adopt(
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
    void refusalRead(DecodedRecord.PartRefused refused) {
        recorded.put(refused.part(), refused.expiresAt());
        if (attribution.adopt(new PartRefusal(refused.part(), 0, Instant.EPOCH, refused.expiresAt()), context.now())) {
            refusalsChanged = true;
            context.log(DecisionRecord.important(
                    "part-refused",
                    "part",
                    Long.toHexString(refused.part()),
                    "remaining-ms",
                    Duration.between(context.now(), refused.expiresAt()).toMillis()));
        }
    }

    /** Records changes of the refusals in the log, so that they survive a restart of all hosts. */
    private void recordRefusals() {
        Instant now = context.now();
        if (now.isBefore(nextRecordAt)) {
            return;
        }
        nextRecordAt = now.plus(RECORD_INTERVAL);
        Map<Long, Instant> refused = new TreeMap<>();
        attribution.refusals(now).forEach(refusal -> refused.put(refusal.part(), refusal.expiresAt()));
        refused.forEach((part, expiresAt) -> {
            Instant known = recorded.getOrDefault(part, Instant.MIN);
            if (known.isBefore(expiresAt.minus(EXPIRY_TOLERANCE))) {
                appendRefusal(part, expiresAt);
            }
        });
        recorded.forEach((part, expiresAt) -> {
            if (now.isBefore(expiresAt) && !refused.containsKey(part)) {
                appendRefusal(part, now);
            }
        });
    }

    private void appendRefusal(long part, Instant expiresAt) {
        context.emit(new ForwardingEffect.AppendPartRefusal(new DecodedRecord.PartRefused(part, expiresAt)));
    }

    /**
     * Looks for the cause of crashes; returns whether requests with another part are refused since the last call.
     *
     * @param writesLog whether this host records refusals in the log for its peers
     */
    boolean tick(boolean writesLog) {
        if (writesLog) {
            recordRefusals();
        }
        Instant now = context.now();
        for (Iterator<Resend> iterator = resends.iterator(); iterator.hasNext(); ) {
            Resend resend = iterator.next();
            if (!now.isBefore(resend.dueAt())) {
                iterator.remove();
                Suspicion suspicion = resend.suspicion();
                if (attribution.isUndecided(suspicion.suspectedParts(), suspicion.brokenAt())) {
                    report(suspicion);
                }
            }
        }
        if (!now.isBefore(nextAttributionAt)) {
            nextAttributionAt = now.plus(ATTRIBUTION_INTERVAL);
            attribution.attribute(now).ifPresent(refusal -> {
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
