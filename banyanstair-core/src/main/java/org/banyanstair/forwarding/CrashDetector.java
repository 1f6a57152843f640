package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** Distinguishes crashes of endpoints from lost connections and records the requests that were running there. */
final class CrashDetector {
    /** Longest time between a broken attempt and the evidence that its endpoint crashed. */
    private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(4);

    private final EventContext context;
    private final PeerMessenger messenger;
    private final CrashHistory history = new CrashHistory();
    private final Deque<Suspicion> suspicions = new ArrayDeque<>();

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
            Instant expiresAt) {}

    CrashDetector(EventContext context, PeerMessenger messenger) {
        this.context = context;
        this.messenger = messenger;
    }

    boolean isRefused(long fingerprint) {
        return history.isRefused(fingerprint);
    }

    void requestCompleted(long fingerprint) {
        history.completed(fingerprint);
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
    }

    /**
     * Records a crash for the attempts that broke lately on an endpoint that refuses connections, has restarted or is
     * no longer listed.
     */
    void endpointLost(EndpointState endpoint) {
        Iterator<Suspicion> iterator = suspicions.iterator();
        while (iterator.hasNext()) {
            Suspicion suspicion = iterator.next();
            if (context.now().isAfter(suspicion.expiresAt())) {
                iterator.remove();
            } else if (suspicion.endpoint().equals(endpoint.id())) {
                iterator.remove();
                long fingerprint = suspicion.request().fingerprint();
                history.add(fingerprint, suspicion.endpoint(), suspicion.started(), context.now());
                context.log(crashRecord(suspicion));
                messenger.broadcast(
                        new PeerMessage.CrashReport(fingerprint, suspicion.endpoint(), suspicion.started()));
            }
        }
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
        context.log(DecisionRecord.of(
                "crash-reported",
                "peer",
                sender,
                "endpoint",
                message.endpoint(),
                "started",
                message.started(),
                "fingerprint",
                message.fingerprint()));
        history.add(message.fingerprint(), message.endpoint(), message.started(), context.now());
    }
}
