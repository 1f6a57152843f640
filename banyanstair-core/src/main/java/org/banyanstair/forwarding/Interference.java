package org.banyanstair.forwarding;

import java.time.Instant;

/**
 * Estimates how much longer requests take because others run on the same runner.
 *
 * <p>Answers load of long prompts beside long answers, as on the heaviest days. A runner reads prompts between the
 * tokens of all that it generates, so each prompt holds up every answer there, and an answer takes longer the more is
 * read beside it. Meanwhile each keeps the place of its adapter, and the places are what binds. Requests that are
 * placed by this estimate part by themselves: long prompts gather where little is generated, long answers where little
 * is read.
 */
final class Interference {
    /** Own delay that is accepted to spare one millisecond of a place; few places bind long before a runner is busy. */
    private static final double PLACE_WEIGHT = 0.25;

    private Interference() {}

    /** Returns what running a request on a runner costs it and the requests there, in milliseconds of its own start. */
    static double milliseconds(EndpointState endpoint, int readTokens, int outputTokens, Instant now) {
        double reading = readTokens / ServiceTimes.PROMPT_TOKENS_PER_MILLISECOND * endpoint.slowness();
        double share = endpoint.readingShare(now);
        double slowed = outputTokens * ServiceTimes.STEP_MILLISECONDS * endpoint.slowness() * share / (1 - share);
        return PLACE_WEIGHT * (reading * endpoint.generating() + slowed);
    }
}
