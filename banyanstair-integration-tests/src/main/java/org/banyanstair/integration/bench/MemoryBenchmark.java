package org.banyanstair.integration.bench;

import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;

/** Measures the memory and the start-up time of a daemon for growing numbers of registered adapters. */
final class MemoryBenchmark implements Benchmark {
    private static final List<Integer> ADAPTERS = List.of(0, 3_000, 24_000, 48_000, 96_000);
    private static final List<Integer> BRIEF_ADAPTERS = List.of(0, 1_000, 3_000, 6_000);

    /** Keeps the body of a change below the limit of 512 KiB: 3,000 adapters take about 300 KB. */
    private static final int ADAPTERS_PER_CHANGE = 3_000;

    private static final int MEASURED_STARTS = 3;
    private static final long SETTLE_MILLISECONDS = 2_000;
    private static final long TARGET_HEAP_BYTES = 256L * 1024 * 1024;
    private static final int TARGET_READY_MILLISECONDS = 2_000;

    @Override
    public ObjectNode run(BenchmarkRun run) throws Exception {
        ObjectNode json = Mappers.JSON.createObjectNode();
        json.put("aimBytes", TARGET_HEAP_BYTES).put("aimReadyMilliseconds", TARGET_READY_MILLISECONDS);
        ArrayNode steps = json.putArray("steps");
        try (BenchmarkCluster cluster =
                new BenchmarkCluster(run, "memory", 1, List.of(2), BenchmarkCluster.engine(4, 8, 5_000))) {
            cluster.cluster().start();
            int applied = 0;
            for (int adapters : run.brief() ? BRIEF_ADAPTERS : ADAPTERS) {
                ObjectNode step = steps.addObject().put("adapters", adapters);
                long begin = System.nanoTime();
                applied = addAdapters(cluster, applied, adapters);
                step.put("applySeconds", (System.nanoTime() - begin) / 1e9);
                measure(cluster.cluster(), step);
                System.err.println(step);
            }
        }
        recordFit(run, json, steps, "heapBytes");
        recordFit(run, json, steps, "startedResidentBytes");
        recordFit(run, json, steps, "readyMilliseconds");
        return json;
    }

    private static int addAdapters(BenchmarkCluster cluster, int from, int to) throws InterruptedException {
        int adapters = from;
        do {
            adapters = Math.min(to, adapters + ADAPTERS_PER_CHANGE);
            cluster.apply(BenchmarkDeclarations.of(1, adapters));
        } while (adapters < to);
        return adapters;
    }

    private static void measure(Cluster cluster, ObjectNode step) throws Exception {
        Thread.sleep(SETTLE_MILLISECONDS);
        ClusterHost first = cluster.hosts().get(0);
        ProcessUsage usage = new ProcessUsage(first.process().pid());
        // Read before the class histogram forces a garbage collection, to get the size that an operator sees.
        step.put("residentBytes", usage.residentBytes());
        step.put("heapBytes", JavaDiagnostics.liveHeapBytes(first.process().pid()));
        double[] ready = new double[MEASURED_STARTS];
        double[] resident = new double[MEASURED_STARTS];
        for (int start = 0; start < MEASURED_STARTS; start++) {
            long begin = System.nanoTime();
            ClusterHost host = cluster.startHost();
            ready[start] = (System.nanoTime() - begin) / 1e6;
            Thread.sleep(SETTLE_MILLISECONDS);
            resident[start] = new ProcessUsage(host.process().pid()).residentBytes();
            cluster.kill(host);
        }
        Arrays.sort(ready);
        Arrays.sort(resident);
        step.put("readyMilliseconds", ready[MEASURED_STARTS / 2])
                .put("slowestReadyMilliseconds", ready[MEASURED_STARTS - 1]);
        step.put("startedResidentBytes", resident[MEASURED_STARTS / 2]);
    }

    private static void recordFit(BenchmarkRun run, ObjectNode json, ArrayNode steps, String figure) throws Exception {
        double[] x = StepFigures.values(steps, "adapters");
        double[] y = StepFigures.values(steps, figure);
        json.set(figure + "PerAdapter", LinearFit.of(x, y).json());
        Plot.write(run.file("memory-" + figure, "png"), "Daemon by registered adapters", "adapters", figure, x, y);
    }
}
