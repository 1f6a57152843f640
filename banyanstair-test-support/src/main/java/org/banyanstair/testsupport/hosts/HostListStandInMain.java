package org.banyanstair.testsupport.hosts;

import java.time.Duration;
import java.util.Map;

import org.banyanstair.testsupport.fault.StandInMain;

/** Runs the host list stand-in as a process. */
public final class HostListStandInMain {
    private HostListStandInMain() {}

    /**
     * Starts the stand-in.
     *
     * @param arguments {@code --port}, {@code --lag-millis}
     */
    public static void main(String[] arguments) {
        Map<String, String> options = Map.of("lag-millis", "time after which readers see a change");
        StandInMain.run(arguments, options, line -> {
            Duration lag = Duration.ofMillis(StandInMain.intOption(line, "lag-millis", 0));
            return new HostListStandIn(StandInMain.intOption(line, "port", 0), lag).start();
        });
    }
}
