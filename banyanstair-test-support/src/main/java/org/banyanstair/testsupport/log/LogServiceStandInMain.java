package org.banyanstair.testsupport.log;

import java.time.Duration;
import java.util.Map;

import org.banyanstair.testsupport.fault.StandInMain;

/** Runs the log service stand-in as a process. */
public final class LogServiceStandInMain {
    private static final int DEFAULT_RETENTION_SECONDS = 24 * 3600;

    private LogServiceStandInMain() {}

    /**
     * Starts the stand-in.
     *
     * @param arguments {@code --port}, {@code --retention-seconds}, {@code --appends-per-second}
     */
    public static void main(String[] arguments) {
        Map<String, String> options = Map.of(
                "retention-seconds", "time for which records are kept",
                "appends-per-second", "most appends in any second");
        StandInMain.run(arguments, options, line -> {
            int retention = StandInMain.intOption(line, "retention-seconds", DEFAULT_RETENTION_SECONDS);
            int limit = StandInMain.intOption(line, "appends-per-second", LogServiceStandIn.DEFAULT_APPENDS_PER_SECOND);
            return new LogServiceStandIn(StandInMain.intOption(line, "port", 0), Duration.ofSeconds(retention), limit)
                    .start();
        });
    }
}
