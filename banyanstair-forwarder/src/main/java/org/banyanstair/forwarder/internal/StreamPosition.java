package org.banyanstair.forwarder.internal;

import java.util.Optional;

import org.banyanstair.forwarding.AttemptResult;

/**
 * What a caller has of an event stream, whose events may come from several runs.
 *
 * <p>Used on the thread of the connections only.
 */
final class StreamPosition {
    private static final long NONE = -1;

    private long lastEvent = NONE;

    /** Whether the caller has nothing after the last event with an id. */
    private boolean resumable = true;

    /** What an event of a run is to the caller. */
    enum EventOrder {
        /** The event follows those that the caller has. */
        NEXT,
        /** The caller has the event. */
        REPEATED,
        /** Events between are missing. */
        GAP,
        /** Whether the caller has the event cannot be told. */
        UNPLACED
    }

    /** Returns the id of the last event that the caller has, empty if no other run can go on after what it has. */
    Optional<Long> resumeAfter() {
        return resumable && lastEvent != NONE ? Optional.of(lastEvent) : Optional.empty();
    }

    /** Begins a run that was asked to go on after an event. */
    Run startRun(Optional<Long> after) {
        after.filter(event -> event > lastEvent).ifPresent(event -> lastEvent = event);
        return new Run();
    }

    /** The events of one run. */
    final class Run {
        private final boolean placeable = resumable;

        private long lastRunEvent = NONE;

        EventOrder advance(EventSplitter.StreamEvent event) {
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
         * Decides whether an answer that is complete by its framing is the complete stream.
         *
         * @param hasPartialEvent whether the answer ended within an event
         * @param selfDelimited whether its framing told its end, so that it does not end with its connection
         * @return why the stream is not complete, empty if it is
         */
        Optional<AttemptResult.BrokenCause> findCompletionFault(boolean hasPartialEvent, boolean selfDelimited) {
            if (hasPartialEvent) {
                return Optional.of(AttemptResult.BrokenCause.PARTIAL_EVENT);
            }
            // A resumption without any event had only its end left to send; a closed connection may also be a crash.
            boolean caughtUp = lastRunEvent == NONE && selfDelimited || lastRunEvent >= lastEvent;
            return placeable && caughtUp ? Optional.empty() : Optional.of(AttemptResult.BrokenCause.ENDED_EARLY);
        }
    }
}
