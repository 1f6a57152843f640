package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class ZipfPopularityTest {
    private static final Instant SHIFT = Instant.EPOCH.plusSeconds(10);
    private static final ZipfPopularity POPULARITY = new ZipfPopularity(100, 1, 3, List.of(SHIFT), 10);

    /** Guards against frequencies that do not follow the distribution. */
    @Test
    void frequencyFallsWithRank() {
        int[] counts = new int[100];
        Random random = new Random(5);
        IntStream.range(0, 100_000).forEach(draw -> counts[POPULARITY.choose(random, Instant.EPOCH)]++);
        // The sum of 1/k for k from 1 to 100 is 5.187.
        for (int rank : new int[] {0, 1, 9, 99}) {
            double expected = 100_000 / 5.187 / (rank + 1);
            assertEquals(expected, counts[POPULARITY.itemAt(rank, Instant.EPOCH)], 5 * Math.sqrt(expected));
        }
    }

    /** Guards against a ranking that never changes, changes too early or loses items. */
    @Test
    void rankingShiftsAtInstant() {
        assertEquals(POPULARITY.itemAt(0, Instant.EPOCH), POPULARITY.itemAt(0, SHIFT.minusNanos(1)));
        assertNotEquals(POPULARITY.itemAt(0, Instant.EPOCH), POPULARITY.itemAt(0, SHIFT));
        assertEquals(POPULARITY.itemAt(10, Instant.EPOCH), POPULARITY.itemAt(0, SHIFT));
        long items = IntStream.range(0, 100)
                .map(rank -> POPULARITY.itemAt(rank, SHIFT))
                .distinct()
                .count();
        assertEquals(100, items);
    }
}
