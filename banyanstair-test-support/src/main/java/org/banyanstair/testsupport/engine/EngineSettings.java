package org.banyanstair.testsupport.engine;

/**
 * Settings of the engine.
 *
 * @param port port to listen on, 0 for a free one
 * @param slots adapter slots
 * @param batchLimit most requests that run at a time
 * @param stepMicroseconds time of a step with one request; 0 for steps without a pause
 * @param stepMicrosecondsPerRequest time that each further request adds to a step
 * @param loadMilliseconds time of a load when there is no weight store
 * @param weightStore address of the weight store, empty for none
 * @param checksFencing whether commands with an old fencing number are refused
 * @param keepBrokenStreamsSeconds how long a stream goes on after its connection broke
 * @param statusLagMilliseconds age of the status report
 * @param cacheEventLagMilliseconds delay after which a cache event is published
 * @param cacheEventGapEvery every so many cache events one is never published, 0 for none
 * @param cachedPrefixes prompt prefixes that the cache holds
 * @param restartMilliseconds time from a crash to the new incarnation
 * @param crashMarker a request whose prompt contains this text crashes the engine, empty for none
 */
public record EngineSettings(
        int port,
        int slots,
        int batchLimit,
        long stepMicroseconds,
        long stepMicrosecondsPerRequest,
        long loadMilliseconds,
        String weightStore,
        boolean checksFencing,
        long keepBrokenStreamsSeconds,
        long statusLagMilliseconds,
        long cacheEventLagMilliseconds,
        int cacheEventGapEvery,
        int cachedPrefixes,
        long restartMilliseconds,
        String crashMarker) {
    /** A free port, 4 slots, batches of 8, steps of 5 ms, and loads of 250 ms without a weight store. */
    public static final EngineSettings DEFAULT =
            new EngineSettings(0, 4, 8, 5_000, 100, 250, "", true, 5, 0, 500, 10, 64, 500, "");
}
