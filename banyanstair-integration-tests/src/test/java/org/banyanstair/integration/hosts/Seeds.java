package org.banyanstair.integration.hosts;

/** Prints the seed of a test, so that its output names everything that a repetition needs. */
final class Seeds {
    private Seeds() {}

    static long print(String test, long seed) {
        System.out.println(test + ": seed " + seed);
        return seed;
    }
}
