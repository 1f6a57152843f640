package org.banyanstair.allotments;

/**
 * How many of the known hosts a host receives messages from; each count includes the host itself.
 *
 * @param reached hosts heard of lately, at least 1
 * @param known hosts that may be running, at least as many
 * @param holdsLowest whether the known host with the lowest name is among the reached ones; decides between two halves
 */
public record Reach(int reached, int known, boolean holdsLowest) {
    /** A host that knows of no other one. */
    public static final Reach ALONE = new Reach(1, 1, true);

    /** Checks the counts. */
    public Reach {
        if (reached < 1 || known < reached) {
            throw new IllegalArgumentException("reached " + reached + " of " + known + " hosts");
        }
    }

    /** Returns whether no other group of hosts that reach each other can be a majority too. */
    public boolean isMajority() {
        return 2 * reached > known || 2 * reached == known && holdsLowest;
    }

    boolean isComplete() {
        return reached == known;
    }
}
