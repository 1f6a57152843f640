package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

import org.banyanstair.model.EndpointId;
import org.banyanstair.peer.PeerMessage;

/** Tells crashes of endpoints from lost connections, and which requests were running at them. */
final class CrashWatch {
    /** Time between a broken request and the sign that its endpoint crashed. */
    private static final Duration SIGN_LIMIT = Duration.ofSeconds(4);

    private final Turn turn;
    private final PeerMail mail;
    private final CrashHistory history = new CrashHistory();
    private final Deque<Suspicion> suspicions = new ArrayDeque<>();

    private record Suspicion(long fingerprint, EndpointId endpoint, long started, Instant until) {}

    CrashWatch(Turn turn, PeerMail mail) {
        this.turn = turn;
        this.mail = mail;
    }

    boolean isRefused(long fingerprint) {
        return history.isRefused(fingerprint);
    }

    void completed(long fingerprint) {
        history.completed(fingerprint);
    }

    void broken(long fingerprint, EndpointState endpoint) {
        while (!suspicions.isEmpty()
                && turn.now().isAfter(suspicions.peekFirst().until())) {
            suspicions.removeFirst();
        }
        suspicions.addLast(new Suspicion(
                fingerprint,
                endpoint.id(),
                endpoint.listing().started(),
                turn.now().plus(SIGN_LIMIT)));
    }

    /** An endpoint refuses connections, has restarted, or is no longer listed. */
    void unreachable(EndpointState endpoint) {
        Iterator<Suspicion> all = suspicions.iterator();
        while (all.hasNext()) {
            Suspicion suspicion = all.next();
            if (turn.now().isAfter(suspicion.until())) {
                all.remove();
            } else if (suspicion.endpoint().equals(endpoint.id())) {
                all.remove();
                history.add(suspicion.fingerprint(), suspicion.endpoint(), suspicion.started(), turn.now());
                turn.log(DecisionRecord.important(
                        "endpoint-crashed", "endpoint", suspicion.endpoint(), "fingerprint", suspicion.fingerprint()));
                mail.sendToAll(new PeerMessage.CrashReport(
                        suspicion.fingerprint(), suspicion.endpoint(), suspicion.started()));
            }
        }
    }

    void reported(PeerMessage.CrashReport message) {
        history.add(message.fingerprint(), message.endpoint(), message.started(), turn.now());
    }
}
