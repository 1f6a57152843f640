package org.banyanstair.forwarder.internal;

import java.util.Optional;

import org.banyanstair.forwarding.AttemptResult;

/**
 * Position of a caller in an event stream whose events may come from several runs.
 *
 * <p>Used on the event loop thread only.
 */
final class StreamPosition {
    private static final long NONE = -1;

    private long lastEvent = NONE;

    /** Whether the caller's last event has an id, so that another run can resume after it. */
    private boolean resumable = true;

    /** Relation of an event of a run to the events that the caller has. */
    enum EventOrder {
        /** The event directly follows the caller's last event. */
        NEXT,
        /** The caller already has the event. */
        REPEATED,
        /** Events between the caller's last event and this one are missing. */
        GAP,
        /** It cannot be determined whether the caller already has the event. */
        UNPLACED
    }

    /** Returns the id of the event after which another run can resume, empty if no run can. */
    Optional<Long> resumeAfter() {
        return resumable && lastEvent != NONE ? Optional.of(lastEvent) : Optional.empty();
    }

    /** Starts a run that was asked to resume after an event. */
    Run startRun(Optional<Long> after) {
        after.filter(event -> event > lastEvent).ifPresent(event -> lastEvent = event);
        return new Run();
    }

    /** The events of one run. */
    final class Run {
        private final boolean placeable = resumable;

        private long lastRunEvent = NONE;

        private boolean hasData;

        EventOrder advance(EventSplitter.StreamEvent event) {
            hasData = hasData || event.hasData();
            EventOrder order = event.id().map(this::placeNumbered).orElseGet(() -> placeUnnumbered(event));
            event.id().filter(id -> id > lastRunEvent).ifPresent(id -> lastRunEvent = id);
            return order;
        }

        private EventOrder placeNumbered(long id) {
            if (!placeable) {
                return EventOrder.UNPLACED;
            }
            if (id <= lastEvent) {
                return EventOrder.REPEATED;
            }
            if (lastEvent != NONE && id > lastEvent + 1) {
                return EventOrder.GAP;
            }
            lastEvent = id;
            resumable = true;
            return EventOrder.NEXT;
        }

        private EventOrder placeUnnumbered(EventSplitter.StreamEvent event) {
            boolean caughtUp = placeable && lastRunEvent == lastEvent;
            if (!event.hasData()) {
                return caughtUp ? EventOrder.NEXT : EventOrder.REPEATED;
            }
            if (caughtUp) {
                resumable = false;
                return EventOrder.NEXT;
            }
            return placeable && lastRunEvent != NONE ? EventOrder.REPEATED : EventOrder.UNPLACED;
        }

        /**
         * Checks whether a response that is complete by its framing is also the complete stream.
         *
         * @param hasPartialEvent whether the response ended within an event
         * @param selfDelimited whether its framing marks its end, so that it is not delimited by the close of the
         *     connection
         * @return why the stream is incomplete, empty if it is complete
         */
        Optional<AttemptResult.BrokenCause> findCompletionFault(boolean hasPartialEvent, boolean selfDelimited) {
            if (hasPartialEvent) {
                return Optional.of(AttemptResult.BrokenCause.PARTIAL_EVENT);
            }
            // A resumed run without any event had only its end left to send. A closed connection may also be a
            // crash, and a run that has begun has at least one event.
            boolean caughtUp =
                    (lastRunEvent == NONE && selfDelimited || lastRunEvent >= lastEvent) && (selfDelimited || hasData);
            return placeable && caughtUp ? Optional.empty() : Optional.of(AttemptResult.BrokenCause.ENDED_EARLY);
        }
    }
}
