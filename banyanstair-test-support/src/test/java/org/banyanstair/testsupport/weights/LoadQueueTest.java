package org.banyanstair.testsupport.weights;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a store that is faster or slower than the platform's. */
class LoadQueueTest {
    private static final long SECOND = 1_000_000_000L;
    private static final WeightStoreSettings SETTINGS = new WeightStoreSettings(4, 2, Duration.ofMillis(250), 8, 10);

    @Test
    void loadsBeyondTheBurstWaitInLineForTheRate() {
        LoadQueue queue = new LoadQueue(SETTINGS, 0);
        assertEquals(0, queue.enqueue(0));
        assertEquals(0, queue.enqueue(0));
        assertEquals(SECOND / 4, queue.enqueue(0));
        assertEquals(SECOND / 2, queue.enqueue(0));
        assertEquals(SECOND / 4, queue.enqueue(SECOND / 2));
        assertEquals(0, queue.enqueue(10 * SECOND));
    }

    @Test
    void transfersTakeProportionallyLongerBeyondTheLimit() {
        LoadQueue queue = new LoadQueue(SETTINGS, 0);
        for (int i = 0; i < 8; i++) {
            assertEquals(SECOND / 4, queue.begin());
        }
        for (int i = 9; i < 16; i++) {
            queue.begin();
        }
        assertEquals(SECOND / 2, queue.begin());
        for (int i = 0; i < 16; i++) {
            queue.end();
        }
        assertEquals(SECOND / 4, queue.begin());
    }
}
