package org.banyanstair.placement;

/**
 * Which faults a simulation injects.
 *
 * @param pausesPerTenThousandEvents how often a host is paused between a decision and its effects
 * @param cutPercent share of streams whose connection breaks while the engine goes on
 * @param restarts whether engines restart empty
 * @param kills whether hosts are killed
 * @param outages whether the log is down for a while
 */
record SimulationFaults(
        int pausesPerTenThousandEvents, int brokenStreamPercent, boolean restarts, boolean kills, boolean outages) {
    static final SimulationFaults ALL = new SimulationFaults(25, 3, true, true, true);
    static final SimulationFaults NONE = new SimulationFaults(0, 0, false, false, false);
}
