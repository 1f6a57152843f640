package org.banyanstair.peer;

import java.util.Comparator;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Tells which of two messages on the same runner is the newer one, since they may overtake each other on their ways.
 *
 * @param fence number of the sender's claim on the runner
 * @param incarnation number of the sender's run
 * @param sequence number that grows with each message of that run on the runner
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record NewsOrder(long fence, long incarnation, long sequence) implements Comparable<NewsOrder> {
    private static final Comparator<NewsOrder> ORDER = Comparator.comparingLong(NewsOrder::fence)
            .thenComparingLong(NewsOrder::incarnation)
            .thenComparingLong(NewsOrder::sequence);

    @Override
    public int compareTo(NewsOrder other) {
        return ORDER.compare(this, other);
    }
}
