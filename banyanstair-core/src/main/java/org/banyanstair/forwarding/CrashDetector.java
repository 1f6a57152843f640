package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.banyanstair.crashes.RequestCrashes;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/**
 * Distinguishes crashes of endpoints from lost connections, and reports the requests on crashed endpoints to the
 * registry of refusals and to peers.
 */
final class CrashDetector {
    /**
     * Longest time between a broken attempt and the evidence that its endpoint crashed; the entry of a crashed endpoint
     * lapses after more than four seconds.
     */
    private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(6);

    /** Time between two attempts on one endpoint that broke in the same crash, on different hosts. */
    private static final Duration SAME_CRASH = Duration.ofSeconds(1);

    /** Minimum time between two checks of an endpoint. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Time in which an endpoint that answers with a failure as it crashes has closed its port. */
    private static final Duration FAILURE_CHECK_DELAY = Duration.ofMillis(250);

    /** Endpoints that have failed a request, after which they are checked. */
    private static final int FAILED_ENDPOINTS_TO_CHECK = 2;

    /** The same for attempts that were abandoned; callers that leave often send their request again. */
    private static final int ABANDONED_ENDPOINTS_TO_CHECK = 3;

    /** Time after a crash in which its endpoint is probably still down, even if it starts again at once. */
    private static final Duration DOWN_TIME = Duration.ofSeconds(1);

    /** Times after a crash at which its report is sent again, since messages may be lost. */
    private static final List<Duration> RESEND_TIMES = List.of(Duration.ofMillis(1000), Duration.ofMillis(3000));

    private final EventContext context;
    private final PlatformView view;
    private final PeerMessenger messenger;
    private final RefusalRegistry refusals;
    private final Deque<CrashSuspicion> suspicions = new ArrayDeque<>();
    private final List<Resend> resends = new ArrayList<>();
    private final List<DelayedCheck> delayedChecks = new ArrayList<>();
    private final Map<EndpointId, Instant> nextChecks = new HashMap<>();

    /** A report that is sent again. */
    private record Resend(CrashSuspicion suspicion, Instant dueAt) {}

    /** A check of an endpoint that may be about to go down. */
    private record DelayedCheck(EndpointState endpoint, Instant dueAt) {}

    CrashDetector(EventContext context, PlatformView view, PeerMessenger messenger, RefusalRegistry refusals) {
        this.context = context;
        this.view = view;
        this.messenger = messenger;
        this.refusals = refusals;
    }

    RefusalRegistry refusals() {
        return refusals;
    }

    /** Records an attempt that broke off, and checks its endpoint. */
    void attemptBroken(InFlightRequest inFlight, EndpointState endpoint) {
        suspect(inFlight, endpoint, CrashSuspicion.Ending.BROKEN);
        check(endpoint);
    }

    /** Records an attempt that its endpoint answered with a failure, perhaps as it went down. */
    void attemptFailed(InFlightRequest inFlight, EndpointState endpoint) {
        suspect(inFlight, endpoint, CrashSuspicion.Ending.FAILED);
        checkIfRepeated(inFlight.request, FAILED_ENDPOINTS_TO_CHECK);
    }

    /** Records an attempt whose answer the host does not wait for any longer. */
    void attemptAbandoned(InFlightRequest inFlight, EndpointState endpoint) {
        suspect(inFlight, endpoint, CrashSuspicion.Ending.ABANDONED);
        checkIfRepeated(inFlight.request, ABANDONED_ENDPOINTS_TO_CHECK);
    }

    /**
     * Checks the endpoints of attempts that may have ended for other reasons, which are common, only if the same
     * request has ended so on several or is known to have crashed one.
     */
    private void checkIfRepeated(ForwardRequest request, int minimumEndpoints) {
        Set<EndpointId> endpoints = suspicions.stream()
                .filter(suspicion -> suspicion.isFor(request))
                .map(CrashSuspicion::endpoint)
                .collect(Collectors.toSet());
        if (endpoints.size() >= minimumEndpoints || refusals.crashes(request) > 0) {
            Instant dueAt = context.now().plus(FAILURE_CHECK_DELAY);
            endpoints.forEach(id ->
                    view.endpoint(id).ifPresent(endpoint -> delayedChecks.add(new DelayedCheck(endpoint, dueAt))));
        }
    }

    /** Returns whether a request may be sent once more after attempts of which some may have crashed endpoints. */
    boolean mayRunAgain(ForwardRequest request) {
        int crashes = refusals.crashes(request);
        long unconfirmed = suspicions.stream()
                .filter(suspicion -> suspicion.isFor(request) && suspicion.ending() != CrashSuspicion.Ending.ABANDONED)
                .map(CrashSuspicion::endpoint)
                .distinct()
                .count();
        return !refusals.isRefused(request) && (crashes == 0 || crashes + unconfirmed < RequestCrashes.MAXIMUM_CRASHES);
    }

    private void suspect(InFlightRequest inFlight, EndpointState endpoint, CrashSuspicion.Ending ending) {
        Instant now = context.now();
        while (!suspicions.isEmpty() && now.isAfter(suspicions.peekFirst().expiresAt())) {
            suspicions.removeFirst();
        }
        suspicions.addLast(new CrashSuspicion(
                inFlight.request,
                endpoint.id(),
                endpoint.listing().started(),
                inFlight.sentAt,
                inFlight.firstOutput ? Optional.of(inFlight.firstOutputAt) : Optional.empty(),
                now,
                ending,
                now.plus(CONFIRMATION_LIMIT)));
    }

    /**
     * Checks whether the endpoint is gone, since without further requests that would be known late. Returns whether the
     * check begins at once; it does not shortly after another.
     */
    private boolean check(EndpointState endpoint) {
        Instant now = context.now();
        nextChecks.values().removeIf(next -> !now.isBefore(next));
        boolean isDue = nextChecks.putIfAbsent(endpoint.id(), now.plus(CHECK_INTERVAL)) == null;
        if (isDue) {
            context.emit(new ForwardingEffect.CheckConnection(
                    endpoint.id(),
                    endpoint.listing().address(),
                    endpoint.listing().started()));
        }
        return isDue;
    }

    void connectionRefused(ForwardingEvent.ConnectionRefused event) {
        pause(event.endpoint(), event.started());
        confirm(suspicion -> suspicion.endpoint().equals(event.endpoint()) && suspicion.started() == event.started());
    }

    /**
     * Records a crash for the attempts that broke off lately on an endpoint that refused a connection for another one,
     * and checks it for those that ended otherwise.
     */
    void attemptRefused(EndpointState endpoint) {
        confirm(suspicion ->
                suspicion.endpoint().equals(endpoint.id()) && suspicion.ending() == CrashSuspicion.Ending.BROKEN);
        endpointUnreachable(endpoint);
    }

    /**
     * Checks an endpoint to which a connection failed, if attempts ended there lately. A process that runs may reset
     * connections, and the path to it may be cut.
     */
    void endpointUnreachable(EndpointState endpoint) {
        if (suspicions.stream().anyMatch(suspicion -> suspicion.endpoint().equals(endpoint.id())) && !check(endpoint)) {
            delayedChecks.add(new DelayedCheck(endpoint, nextChecks.get(endpoint.id())));
        }
    }

    /**
     * Records a crash for the attempts that ended lately on an endpoint that has restarted or is no longer listed. An
     * endpoint that was leaving has crashed only for those that broke off.
     */
    void endpointLost(EndpointState endpoint) {
        boolean leaving = endpoint.listing().draining();
        confirm(suspicion -> suspicion.endpoint().equals(endpoint.id())
                && (!leaving || suspicion.ending() == CrashSuspicion.Ending.BROKEN));
    }

    /** Sends nothing to an endpoint that is known to be gone, unless it has restarted since. */
    private void pause(EndpointId id, long started) {
        view.endpoint(id)
                .filter(endpoint -> endpoint.listing().started() == started && endpoint.acceptsRequests(context.now()))
                .ifPresent(endpoint -> endpoint.connectionFailed(context.now()));
    }

    private void confirm(Predicate<CrashSuspicion> selected) {
        Instant now = context.now();
        suspicions.removeIf(suspicion -> now.isAfter(suspicion.expiresAt()));
        // An attempt that had ended well before the first one broke off was not on the endpoint any longer.
        Instant earliestEnd = suspicions.stream()
                .filter(suspicion -> suspicion.ending() == CrashSuspicion.Ending.BROKEN)
                .filter(selected)
                .map(suspicion -> suspicion.endedAt().minus(SAME_CRASH))
                .min(Comparator.naturalOrder())
                .orElse(Instant.MIN);
        List<CrashSuspicion> confirmed = suspicions.stream().filter(selected).toList();
        suspicions.removeAll(confirmed);
        confirmed.stream()
                .filter(suspicion -> !suspicion.endedAt().isBefore(earliestEnd))
                .forEach(this::addCrash);
    }

    private void addCrash(CrashSuspicion suspicion) {
        refusals.addCrash(report(suspicion), Optional.empty());
        context.log(crashRecord(suspicion));
        messenger.broadcast(report(suspicion));
        RESEND_TIMES.forEach(
                delay -> resends.add(new Resend(suspicion, context.now().plus(delay))));
    }

    private PeerMessage.CrashReport report(CrashSuspicion suspicion) {
        ForwardRequest request = suspicion.request();
        return new PeerMessage.CrashReport(
                request.fingerprint(),
                suspicion.endpoint(),
                suspicion.started(),
                suspicion.suspectedParts(),
                context.millisecondsSince(suspicion.endedAt()),
                request.widerFingerprints());
    }

    private DecisionRecord crashRecord(CrashSuspicion suspicion) {
        Instant endedAt = suspicion.endedAt();
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
                refusals.crashes(suspicion.request()),
                "parts",
                PromptPart.format(suspicion.request().prompt()),
                "ending",
                suspicion.ending(),
                "sent-ms-before",
                Duration.between(suspicion.sentAt(), endedAt).toMillis(),
                "output-ms-before",
                suspicion
                        .outputAt()
                        .map(outputAt -> Duration.between(outputAt, endedAt).toMillis())
                        .orElse(-1L),
                "confirmed-after-ms",
                context.millisecondsSince(endedAt));
    }

    void crashReported(HostId sender, PeerMessage.CrashReport message) {
        Instant crashedAt = context.now().minusMillis(message.ageMilliseconds());
        refusals.addCrash(message, Optional.of(sender));
        if (message.ageMilliseconds() < DOWN_TIME.toMillis()) {
            pause(message.endpoint(), message.started());
        }
        confirm(suspicion -> suspicion.endpoint().equals(message.endpoint())
                && suspicion.started() == message.started()
                && Duration.between(suspicion.endedAt(), crashedAt).abs().compareTo(SAME_CRASH) <= 0);
    }

    /** Sends reports again that may have been lost, and checks endpoints that may have crashed since they failed. */
    void tick() {
        Instant now = context.now();
        List<DelayedCheck> dueChecks = delayedChecks.stream()
                .filter(delayed -> !now.isBefore(delayed.dueAt()))
                .toList();
        delayedChecks.removeAll(dueChecks);
        dueChecks.forEach(delayed -> check(delayed.endpoint()));
        for (Iterator<Resend> iterator = resends.iterator(); iterator.hasNext(); ) {
            Resend resend = iterator.next();
            if (!now.isBefore(resend.dueAt())) {
                iterator.remove();
                CrashSuspicion suspicion = resend.suspicion();
                if (refusals.isOpen(suspicion.request(), suspicion.suspectedParts(), suspicion.endedAt())) {
                    messenger.broadcast(report(suspicion));
                }
            }
        }
    }
}
