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
import java.util.function.Predicate;

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

    /** Output shortly before a crash does not clear a request, since a runner may send its first output as it fails. */
    private static final Duration FIRST_OUTPUT_DOUBT = Duration.ofMillis(300);

    /** Minimum time between two checks of an endpoint. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Times after a crash at which its report is sent again, since messages may be lost. */
    private static final List<Duration> RESEND_TIMES = List.of(Duration.ofMillis(1000), Duration.ofMillis(3000));

    private final EventContext context;
    private final PeerMessenger messenger;
    private final RefusalRegistry refusals;
    private final Deque<Suspicion> suspicions = new ArrayDeque<>();
    private final List<Resend> resends = new ArrayList<>();
    private final Map<EndpointId, Instant> nextChecks = new HashMap<>();

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

    CrashDetector(EventContext context, PeerMessenger messenger, RefusalRegistry refusals) {
        this.context = context;
        this.messenger = messenger;
        this.refusals = refusals;
    }

    RefusalRegistry refusals() {
        return refusals;
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
                refusals.addCrash(
                        suspicion.request().fingerprint(),
                        suspicion.endpoint(),
                        suspicion.started(),
                        suspicion.brokenAt(),
                        suspicion.suspectedParts(),
                        Optional.empty());
                context.log(crashRecord(suspicion));
                report(suspicion);
                RESEND_TIMES.forEach(
                        delay -> resends.add(new Resend(suspicion, context.now().plus(delay))));
            }
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
                refusals.crashes(suspicion.request().fingerprint()),
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
        Instant crashedAt = context.now().minusMillis(message.ageMilliseconds());
        refusals.addCrash(
                message.fingerprint(),
                message.endpoint(),
                message.started(),
                crashedAt,
                message.parts(),
                Optional.of(sender));
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
                refusals.crashes(message.fingerprint())));
        confirm(suspicion -> suspicion.endpoint().equals(message.endpoint())
                && suspicion.started() == message.started()
                && Duration.between(suspicion.brokenAt(), crashedAt).abs().compareTo(SAME_CRASH) <= 0);
    }

    /** Sends reports again that may have been lost. */
    void tick() {
        Instant now = context.now();
        for (Iterator<Resend> iterator = resends.iterator(); iterator.hasNext(); ) {
            Resend resend = iterator.next();
            if (!now.isBefore(resend.dueAt())) {
                iterator.remove();
                Suspicion suspicion = resend.suspicion();
                if (refusals.isOpen(
                        suspicion.request().fingerprint(), suspicion.suspectedParts(), suspicion.brokenAt())) {
                    report(suspicion);
                }
            }
        }
    }
}
