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
    private boolean exact = true;

    /** What an event of a run is to the caller. */
    enum Step {
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
        return exact && lastEvent != NONE ? Optional.of(lastEvent) : Optional.empty();
    }

    /** Begins a run that was asked to go on after an event. */
    Run begin(Optional<Long> after) {
        after.filter(event -> event > lastEvent).ifPresent(event -> lastEvent = event);
        return new Run();
    }

    /** The events of one run. */
    final class Run {
        private final boolean joinable = exact;

        private long runEvent = NONE;

        Step advance(EventSplitter.StreamEvent event) {
            Step step = event.id().map(this::numbered).orElseGet(() -> unnumbered(event));
            event.id().filter(id -> id > runEvent).ifPresent(id -> runEvent = id);
            return step;
        }

        private Step numbered(long id) {
            if (!joinable) {
                return Step.UNPLACED;
            }
            if (id <= lastEvent) {
                return Step.REPEATED;
            }
            if (lastEvent != NONE && id > lastEvent + 1) {
                return Step.GAP;
            }
            lastEvent = id;
            exact = true;
            return Step.NEXT;
        }

        private Step unnumbered(EventSplitter.StreamEvent event) {
            boolean caughtUp = joinable && runEvent == lastEvent;
            if (!event.hasData()) {
                return caughtUp ? Step.NEXT : Step.REPEATED;
            }
            if (caughtUp) {
                exact = false;
                return Step.NEXT;
            }
            return joinable && runEvent != NONE ? Step.REPEATED : Step.UNPLACED;
        }

        /**
         * Decides whether an answer that is complete by its framing is the complete stream.
         *
         * @param withinEvent whether the answer ended within an event
         * @param delimited whether its framing told its end, so that it does not end with its connection
         * @return why the stream is not complete, empty if it is
         */
        Optional<AttemptResult.BrokenCause> faultAtEnd(boolean withinEvent, boolean delimited) {
            if (withinEvent) {
                return Optional.of(AttemptResult.BrokenCause.PARTIAL_EVENT);
            }
            // A resumption without any event had only its end left to send; a closed connection may also be a crash.
            boolean caughtUp = runEvent == NONE && delimited || runEvent >= lastEvent;
            return joinable && caughtUp ? Optional.empty() : Optional.of(AttemptResult.BrokenCause.ENDED_EARLY);
        }
    }
}
