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

    /** What an event of a run is to the caller. */
    enum Step {
        /** The event follows those that the caller has. */
        NEXT,
        /** The caller has the event. */
        REPEATED,
        /** Events between are missing. */
        GAP
    }

    /** Returns the id of the last event that the caller has, after which another run may go on. */
    Optional<Long> resumeAfter() {
        return lastEvent == NONE ? Optional.empty() : Optional.of(lastEvent);
    }

    /** Begins a run that was asked to go on after an event. */
    Run begin(Optional<Long> after) {
        after.filter(event -> event > lastEvent).ifPresent(event -> lastEvent = event);
        return new Run();
    }

    /** The events of one run. */
    final class Run {
        Step advance(EventSplitter.StreamEvent event) {
            long id = event.id().orElse(lastEvent);
            boolean numbered = event.id().isPresent();
            if (numbered && id <= lastEvent) {
                return Step.REPEATED;
            }
            if (numbered && lastEvent != NONE && id > lastEvent + 1) {
                return Step.GAP;
            }
            lastEvent = id;
            return Step.NEXT;
        }

        /**
         * Decides whether an answer that is complete by its framing is the complete stream.
         *
         * @param withinEvent whether the answer ended within an event
         * @return why the stream is not complete, empty if it is
         */
        Optional<AttemptResult.BrokenCause> faultAtEnd(boolean withinEvent) {
            return withinEvent ? Optional.of(AttemptResult.BrokenCause.PARTIAL_EVENT) : Optional.empty();
        }
    }
}
