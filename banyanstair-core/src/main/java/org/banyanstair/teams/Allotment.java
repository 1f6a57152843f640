package org.banyanstair.teams;

/**
 * How much a team may use over all hosts together.
 *
 * @param perSecond units a second, above 0
 * @param burst units that may be used at once after a time without use, at least 0
 * @param plainTokens units of a request without a token count, where the unit is tokens; at least 0
 */
public record Allotment(double perSecond, double burst, AllotmentUnit unit, int plainTokens) {
    /** Checks the ranges. */
    public Allotment {
        if (!(perSecond > 0) || !(burst >= 0) || plainTokens < 0 || Double.isInfinite(perSecond + burst)) {
            throw new IllegalArgumentException(
                    "invalid allotment: " + perSecond + " a second, burst " + burst + ", plain " + plainTokens);
        }
    }

    /**
     * Returns what a request counts.
     *
     * @param inputTokens length of the prompt; 0 with no output tokens stands for a request without a token count
     * @param outputTokens maximum number of generated tokens
     */
    public double cost(int inputTokens, int outputTokens) {
        if (unit == AllotmentUnit.REQUESTS) {
            return 1;
        }
        long tokens = (long) inputTokens + outputTokens;
        return tokens > 0 ? tokens : plainTokens;
    }
}
