package org.banyanstair.testsupport.engine;

/**
 * Settings of the engine stand-in.
 *
 * @param port port to listen on, 0 for a free one
 * @param batchLimit maximum number of requests in the batch
 * @param stepMicroseconds duration of a batch step with one request, 0 for no pause between steps
 * @param stepMicrosecondsPerRequest duration that each further request adds to a step
 * @param loadMilliseconds duration of an adapter load without a weight store
 * @param weightStore address of the weight store, empty for none
 * @param checksFencing whether commands with a stale fencing number are rejected
 * @param keepBrokenStreamsSeconds how long a generation keeps running after its client disconnected
 * @param statusLagMilliseconds age of the reported status
 * @param cacheEventLagMilliseconds delay until a cache event is published
 * @param cacheEventGapEvery omits every n-th cache event, 0 to omit none
 * @param cachedPrefixes capacity of the prefix cache
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
