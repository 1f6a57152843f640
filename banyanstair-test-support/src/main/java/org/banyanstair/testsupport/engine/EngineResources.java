package org.banyanstair.testsupport.engine;

import java.util.concurrent.ScheduledExecutorService;

import org.banyanstair.testsupport.endpoint.FaultSettings;

/** Groups the objects that the components of one engine share. */
record EngineResources(
        EngineSettings settings,
        FaultSettings<EngineFault> faults,
        ScheduledExecutorService scheduler,
        MutableEngineCounters counts,
        RunLog runLog) {}
