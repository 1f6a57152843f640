package org.banyanstair.forwarding;

/**
 * Says which runners read prompts for so long at a time that streams there are held up.
 *
 * <p>Answers load of long prompts beside long answers. While a runner reads prompts, all its streams get one token for
 * each piece of a prompt, so prompts that wait in a row make pauses that callers notice. A request is better off, and
 * the streams of others too, where fewer wait, even if its adapter has to be loaded there.
 */
final class StreamPauses {
    /** Part of the longest pause that prompts may take; the rest is for attention over long prompts and for steps. */
    private static final double READING_SHARE = 0.75;

    /** Own delay that is accepted to spare the streams of a runner a long pause; half of a usual objective. */
    private static final double HELD_UP_MILLISECONDS = 400;

    private StreamPauses() {}

    /**
     * Returns the cost of a request where it or others would be held up.
     *
     * @param readingMilliseconds time that the runner would read prompts without a rest, this request's included
     * @return milliseconds of the request's own start
     */
    static double milliseconds(EndpointState endpoint, Route route, double readingMilliseconds) {
        double limit = route.longestPause().toMillis() * READING_SHARE;
        boolean heldUp = limit > 0 && endpoint.running() > 0 && readingMilliseconds > limit;
        return heldUp ? HELD_UP_MILLISECONDS : 0;
    }
}
