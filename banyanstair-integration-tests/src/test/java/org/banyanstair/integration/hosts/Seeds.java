package org.banyanstair.integration.hosts;

/** Prints the seed of a test, so that a failed run can be repeated. */
final class Seeds {
    private Seeds() {}

    static long print(String test, long seed) {
        System.out.println(test + ": seed " + seed);
        return seed;
    }
}
