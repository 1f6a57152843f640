package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

import org.banyanstair.model.EndpointId;
import org.banyanstair.peer.PeerMessage;

/** Distinguishes crashes of endpoints from lost connections and records the requests that were running there. */
final class CrashDetector {
    /** Longest time between a broken attempt and the evidence that its endpoint crashed. */
    private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(4);

    private final EventContext context;
    private final PeerMessenger messenger;
    private final CrashHistory history = new CrashHistory();
    private final Deque<Suspicion> suspicions = new ArrayDeque<>();

    private record Suspicion(long fingerprint, EndpointId endpoint, long started, Instant expiresAt) {}

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

    void attemptBroken(long fingerprint, EndpointState endpoint) {
        while (!suspicions.isEmpty()
                && context.now().isAfter(suspicions.peekFirst().expiresAt())) {
            suspicions.removeFirst();
        }
        suspicions.addLast(new Suspicion(
                fingerprint,
                endpoint.id(),
                endpoint.listing().started(),
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
                history.add(suspicion.fingerprint(), suspicion.endpoint(), suspicion.started(), context.now());
                context.log(DecisionRecord.important(
                        "endpoint-crashed", "endpoint", suspicion.endpoint(), "fingerprint", suspicion.fingerprint()));
                messenger.broadcast(new PeerMessage.CrashReport(
                        suspicion.fingerprint(), suspicion.endpoint(), suspicion.started()));
            }
        }
    }

    void crashReported(PeerMessage.CrashReport message) {
        history.add(message.fingerprint(), message.endpoint(), message.started(), context.now());
    }
}
