package org.banyanstair.testsupport.history;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.ModelName;

/** Records the history of a test run. Thread-safe. */
public final class HistoryRecorder {
    private final Queue<HistoryEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicLong requests = new AtomicLong();
    private final InstantSource instants;

    /**
     * Creates an empty history.
     *
     * @param instants clock; must agree with that of the endpoints' records
     */
    public HistoryRecorder(InstantSource instants) {
        this.instants = instants;
    }

    /**
     * Records that a request is about to be sent; must be called before its first byte is sent.
     *
     * @param key idempotency key or marker in the body
     * @param model model that the request names, empty for a plain service
     * @param repeatable true for an idempotent request
     * @return the event to pass when the outcome is recorded
     */
    public HistoryEvent.Sent sent(
            String key, CallerId caller, HostId host, Optional<ModelName> model, boolean repeatable) {
        Instant now = instants.instant();
        return append(new HistoryEvent.Sent(
                new EventContext(requests.incrementAndGet(), key, caller, host, now, now), model, repeatable));
    }

    /**
     * Records a complete response.
     *
     * @param requestId id that the entry host returned
     * @param adapter adapter version that the answer names, empty for a plain service
     * @param textDigest digest of the text or body
     */
    public HistoryEvent.Answered answered(
            HistoryEvent.Sent sent,
            Optional<String> requestId,
            int status,
            Optional<AdapterVersion> adapter,
            int tokens,
            String textDigest) {
        return append(new HistoryEvent.Answered(ended(sent), sent, requestId, status, adapter, tokens, textDigest));
    }

    /**
     * Records a response that says that the request did not run.
     *
     * @param requestId id that the entry host returned
     */
    public HistoryEvent.NotRun notRun(HistoryEvent.Sent sent, Optional<String> requestId, String code) {
        return append(new HistoryEvent.NotRun(ended(sent), sent, requestId, code));
    }

    /** Records that the outcome of a request is unknown. */
    public HistoryEvent.Unknown unknown(HistoryEvent.Sent sent) {
        return append(new HistoryEvent.Unknown(ended(sent), sent));
    }

    /**
     * Returns the events recorded so far.
     *
     * @return a copy, in the order of recording
     */
    public List<HistoryEvent> events() {
        return List.copyOf(events);
    }

    private EventContext ended(HistoryEvent.Sent sent) {
        EventContext context = sent.context();
        return new EventContext(
                context.request(),
                context.key(),
                context.caller(),
                context.host(),
                context.start(),
                instants.instant());
    }

    private <T extends HistoryEvent> T append(T event) {
        events.add(event);
        return event;
    }
}
