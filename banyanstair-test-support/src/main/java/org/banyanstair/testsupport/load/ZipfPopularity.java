package org.banyanstair.testsupport.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Zipf distribution over items whose popularity ranking changes at given times.
 *
 * <p>Immutable.
 */
public final class ZipfPopularity {
    private final double[] cumulative;
    private final List<Integer> ranking;
    private final List<Instant> shifts;
    private final int shiftBy;

    /**
     * Creates a distribution.
     *
     * @param exponent exponent of the distribution, 0 for a uniform one
     * @param seed seed of the ranking
     * @param shifts times at which the ranking changes
     * @param shiftBy number of most popular items that become the least popular ones at each shift
     */
    public ZipfPopularity(int items, double exponent, long seed, List<Instant> shifts, int shiftBy) {
        if (items < 1 || exponent < 0 || shiftBy < 0) {
            throw new IllegalArgumentException("items must be positive, exponent and shiftBy not negative");
        }
        this.cumulative = new double[items];
        double sum = 0;
        for (int rank = 0; rank < items; rank++) {
            sum += Math.pow(rank + 1.0, -exponent);
            cumulative[rank] = sum;
        }
        List<Integer> shuffled =
                new ArrayList<>(IntStream.range(0, items).boxed().toList());
        Collections.shuffle(shuffled, new Random(seed));
        this.ranking = List.copyOf(shuffled);
        this.shifts = List.copyOf(shifts);
        this.shiftBy = shiftBy;
    }

    /**
     * Chooses an item.
     *
     * @param at time whose ranking applies
     * @return number of the item, from 0
     */
    public int choose(Random random, Instant at) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, point);
        // An exact hit on a bound belongs to the next rank, as each rank's interval excludes its upper bound.
        return itemAt(found >= 0 ? found + 1 : -found - 1, at);
    }

    /**
     * Returns the item at a rank.
     *
     * @param rank the rank, 0 for the most popular item
     * @param at time whose ranking applies
     * @return number of the item, from 0
     */
    public int itemAt(int rank, Instant at) {
        long passed = shifts.stream().filter(shift -> !shift.isAfter(at)).count();
        return ranking.get((int) Math.floorMod(rank + passed * shiftBy, (long) ranking.size()));
    }
}
