package org.banyanstair.peer;

import java.util.Comparator;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Total order of the messages about a runner, which may be delivered out of order.
 *
 * @param fence fencing token of the sender's claim on the runner
 * @param incarnation incarnation of the sender
 * @param sequence number that increases with each message of this incarnation about the runner
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
