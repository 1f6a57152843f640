package org.banyanstair.testsupport.weights;

import java.util.Map;

import org.banyanstair.testsupport.fault.StandInMain;

/** Runs the weight store stand-in as a process. */
public final class WeightStoreStandInMain {
    private WeightStoreStandInMain() {}

    /**
     * Starts the stand-in.
     *
     * @param arguments {@code --port}, {@code --loads-per-second}
     */
    public static void main(String[] arguments) {
        Map<String, String> options = Map.of("loads-per-second", "loads that may start per second on average");
        StandInMain.run(arguments, options, line -> {
            double rate = Double.parseDouble(line.getOptionValue("loads-per-second", "3"));
            return new WeightStoreStandIn(
                            StandInMain.intOption(line, "port", 0),
                            WeightStoreSettings.DEFAULT.withLoadsPerSecond(rate))
                    .start();
        });
    }
}
