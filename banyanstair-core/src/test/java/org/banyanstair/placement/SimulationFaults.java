package org.banyanstair.placement;

/**
 * Faults that a simulation injects.
 *
 * @param pausesPerTenThousandEvents how often a host is paused between an event and its effects
 * @param cutPercent share of streams whose connection breaks while the engine continues to run them
 * @param restarts whether engines restart without their adapters
 * @param kills whether hosts are killed
 * @param outages whether the log is temporarily unavailable
 */
record SimulationFaults(
        int pausesPerTenThousandEvents, int brokenStreamPercent, boolean restarts, boolean kills, boolean outages) {
    static final SimulationFaults ALL = new SimulationFaults(25, 3, true, true, true);
    static final SimulationFaults NONE = new SimulationFaults(0, 0, false, false, false);
}
