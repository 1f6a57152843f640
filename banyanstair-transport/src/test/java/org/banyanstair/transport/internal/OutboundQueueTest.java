package org.banyanstair.transport.internal;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OutboundQueueTest {
    private static final byte[] FRAME = {1};

    private final OutboundQueue queue = new OutboundQueue();

    /**
     * Frames that were written between the overflow and the close of the connection were lost and not counted as
     * dropped.
     */
    @Test
    void handsOutNoFramesAfterAnOverflow() {
        for (int number = 0; number < OutboundQueue.MAXIMUM_MESSAGES; number++) {
            assertTrue(queue.offer(FRAME));
        }
        assertFalse(queue.offer(FRAME));
        assertNull(queue.poll());
        assertTrue(queue.isEmpty());
        assertFalse(queue.offer(FRAME));
        assertEquals(OutboundQueue.MAXIMUM_MESSAGES, queue.clear());
        assertTrue(queue.offer(FRAME));
        assertEquals(FRAME, queue.poll());
    }

    @Test
    void admitsFramesAfterAnOverflowOfBytes() {
        assertFalse(queue.offer(new byte[(int) OutboundQueue.MAXIMUM_BYTES + 1]));
        assertEquals(0, queue.clear());
        assertTrue(queue.offer(FRAME));
    }
}
