package org.banyanstair.integration.quickstart;

import java.util.List;

import org.banyanstair.model.HostId;
import org.banyanstair.testsupport.history.EndpointRun;

/** The result of a run of the sample traffic. */
record QuickStartResult(List<SampleResult> results, HostId killed, List<EndpointRun> runs, List<BrokenPromise> broken) {
    /** Copies the lists. */
    QuickStartResult {
        results = List.copyOf(results);
        runs = List.copyOf(runs);
        broken = List.copyOf(broken);
    }
}
