package org.banyanstair.external;

import java.util.stream.IntStream;

/** Names of the log streams. */
public final class LogStreams {
    /** Configuration changes. */
    public static final String CONFIGURATION = "configuration";

    /** Checkpoints of the configuration. */
    public static final String CHECKPOINTS = "configuration-checkpoints";

    /** Claims of pools and announced unloads. */
    public static final String OWNERSHIP = "ownership";

    /** Crashes with the requests that are suspected of having caused them. */
    public static final String SUSPECTS = "suspects";

    /** Number of partitions into which the non-idempotent calls are divided by their key. */
    public static final int CALL_PARTITIONS = 8;

    private static final String CALLS = "calls-";

    private LogStreams() {}

    /** Returns the stream of a call partition. */
    public static String callStream(int partition) {
        return CALLS + partition;
    }

    /** Returns whether a stream holds records of non-idempotent calls. */
    public static boolean isCallStream(String stream) {
        return stream.startsWith(CALLS);
    }

    /** Returns the partition that a stream of non-idempotent calls belongs to. */
    public static int callPartition(String stream) {
        return Integer.parseInt(stream.substring(CALLS.length()));
    }

    /** Returns the numbers of all call partitions. */
    public static IntStream callPartitions() {
        return IntStream.range(0, CALL_PARTITIONS);
    }
}
