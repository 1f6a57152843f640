package org.banyanstair.integration.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.testsupport.load.LoadOutcome;
import org.banyanstair.testsupport.load.LoadPlan;
import org.banyanstair.testsupport.load.LoadReport;
import org.banyanstair.testsupport.load.OpenLoopLoad;

/** Measures the control traffic and processor time per host in idle and lightly loaded clusters of growing size. */
final class ControlBenchmark implements Benchmark {
    private static final List<Integer> SIZES = List.of(2, 4, 6, 9, 16);
    private static final List<Integer> BRIEF_SIZES = List.of(2, 4, 6, 9);

    /** Ratio of the target size: 600 runners for 370 hosts. */
    private static final double ENGINES_PER_HOST = 600.0 / 370;

    /** Small pools, so that small clusters too have hosts that own a pool and hosts that do not. */
    private static final int ENGINES_PER_POOL = 4;

    private static final int ADAPTERS = 8;
    private static final double REQUESTS_PER_SECOND_AND_HOST = 2;
    private static final int TOKENS = 16;
    private static final int CHANGES = 6;

    /** Hosts close connections that carried no message for 60 s; until then, those of the warm-up carry heartbeats. */
    private static final long IDLE_WAIT_MILLISECONDS = 64_000;

    private final MeasurementClient client = new MeasurementClient();

    @Override
    public ObjectNode run(BenchmarkRun run) throws Exception {
        ObjectNode json = Mappers.JSON.createObjectNode();
        json.put("requestsPerSecondAndHost", REQUESTS_PER_SECOND_AND_HOST);
        ArrayNode steps = json.putArray("steps");
        for (int hosts : run.brief() ? BRIEF_SIZES : SIZES) {
            ObjectNode step = measureCluster(run, hosts);
            steps.add(step);
            System.err.println(step);
        }
        ObjectNode fits = json.putObject("fitsByHosts");
        for (String figure : List.of(
                "idlePeerBytesPerSecondAndHost",
                "idleProcessorSharePerHost",
                "idleLogReadsPerSecondAndHost",
                "idleHostListReadsPerSecondAndHost",
                "hostListBytes",
                "loadedPeerBytesPerSecondAndHost",
                "changeMedianMilliseconds")) {
            double[] x = StepFigures.values(steps, "hosts");
            double[] y = StepFigures.values(steps, figure);
            fits.set(figure, LinearFit.of(x, y).json());
            Plot.write(run.file("control-" + figure, "png"), "Control by entry hosts", "hosts", figure, x, y);
        }
        return json;
    }

    private static List<Integer> poolSizes(int engines) {
        int pools = Math.max(1, engines / ENGINES_PER_POOL);
        List<Integer> sizes = new ArrayList<>();
        for (int pool = 0; pool < pools; pool++) {
            sizes.add(engines / pools + (pool < engines % pools ? 1 : 0));
        }
        return sizes;
    }

    private ObjectNode measureCluster(BenchmarkRun run, int hosts) throws Exception {
        int engines = (int) Math.ceil(hosts * ENGINES_PER_HOST);
        List<Integer> pools = poolSizes(engines);
        ObjectNode json = Mappers.JSON.createObjectNode();
        json.put("hosts", hosts).put("engines", engines).put("pools", pools.size());
        try (BenchmarkCluster cluster = new BenchmarkCluster(
                run, "control-" + hosts, hosts, pools, BenchmarkCluster.engine(ADAPTERS, 32, 5_000))) {
            cluster.cluster().start();
            cluster.apply(BenchmarkDeclarations.of(pools.size(), ADAPTERS));
            // Warm-up: loads every adapter and lets the JIT compile the hot paths.
            generateLoad(cluster, pools.size(), hosts * 10.0, run.time(8, 3), run.seed() + 1);
            Thread.sleep(IDLE_WAIT_MILLISECONDS);
            recordResponseSizes(cluster.cluster(), json);
            ProcessUsage usage =
                    new ProcessUsage(cluster.cluster().hosts().get(0).process().pid());
            Map<String, Double> threads = usage.processorSecondsByThread();
            ControlSample before = ControlSample.of(cluster.cluster(), client);
            Thread.sleep(run.time(20, 10).toMillis());
            ControlSample idle = ControlSample.of(cluster.cluster(), client);
            json.set("idleProcessorSecondsByThread", usage.topThreads(threads));
            recordRates(cluster.cluster(), json, "idle", before, idle);
            double rate = hosts * REQUESTS_PER_SECOND_AND_HOST;
            LoadReport report = generateLoad(cluster, pools.size(), rate, run.time(20, 5), run.seed());
            recordRates(cluster.cluster(), json, "loaded", idle, ControlSample.of(cluster.cluster(), client));
            json.put("loadedStarted", report.started()).put("loadedAnswered", report.count(LoadOutcome.ANSWERED));
            measureChanges(cluster.cluster(), json, run.brief() ? 2 : CHANGES);
        }
        return json;
    }

    private static LoadReport generateLoad(BenchmarkCluster cluster, int pools, double rate, Duration time, long seed)
            throws InterruptedException {
        LoadPlan plan = new LoadPlan(rate, (long) (rate * time.toSeconds() * 2) + 1, time, Duration.ofSeconds(5), seed);
        return new OpenLoopLoad(plan, (sequence, random, intended) -> {
                    List<ClusterHost> hosts = cluster.cluster().hosts();
                    ClusterHost host = hosts.get(random.nextInt(hosts.size()));
                    int pool = random.nextInt(pools);
                    return cluster.generate(
                                    host.caller(), pool, random.nextInt(ADAPTERS), "request " + sequence, TOKENS)
                            .thenApply(result -> result.toLoadResult());
                })
                .run();
    }

    /** Records the sizes of the documents that hosts poll. */
    private void recordResponseSizes(Cluster cluster, ObjectNode json) throws IOException {
        json.put("hostListBytes", client.get(cluster.hostList().server().address(), "/hosts").length);
        json.put(
                "engineStatusBytes",
                client.get(cluster.engines().get(0).endpoint().address(), "/v1/status").length);
    }

    private Set<String> owners(Cluster cluster) throws IOException {
        Set<String> owners = new TreeSet<>();
        JsonNode status = client.json(cluster.hosts().get(0).operator(), "/operator/v1/status");
        status.path("states").forEach(state -> {
            if (!state.path("ownedPools").isEmpty()) {
                owners.add(state.at("/identity/host").asText());
            }
        });
        return owners;
    }

    private void recordRates(Cluster cluster, ObjectNode json, String prefix, ControlSample from, ControlSample to)
            throws IOException {
        double seconds = (to.nanos() - from.nanos()) / 1e9;
        int hosts = cluster.hosts().size();
        Set<String> owners = owners(cluster);
        ControlSample.HostTotals all = new ControlSample.HostTotals(0, 0, 0);
        double ownersProcessor = 0;
        double ownersBytes = 0;
        for (int i = 0; i < hosts; i++) {
            ControlSample.HostTotals used = to.hosts().get(i).minus(from.hosts().get(i));
            all = new ControlSample.HostTotals(
                    all.peerBytes() + used.peerBytes(),
                    all.peerFrames() + used.peerFrames(),
                    all.processorSeconds() + used.processorSeconds());
            if (owners.contains(cluster.hosts().get(i).id().value())) {
                ownersProcessor += used.processorSeconds();
                ownersBytes += used.peerBytes();
            }
        }
        int others = hosts - owners.size();
        json.put(prefix + "Seconds", seconds).put(prefix + "PoolOwners", owners.size());
        json.put(prefix + "PeerBytesPerSecondAndHost", all.peerBytes() / seconds / hosts);
        json.put(prefix + "PeerFramesPerSecondAndHost", all.peerFrames() / seconds / hosts);
        json.put(prefix + "ProcessorSharePerHost", all.processorSeconds() / seconds / hosts);
        json.put(prefix + "ProcessorSharePerOwner", ownersProcessor / seconds / Math.max(1, owners.size()));
        json.put(
                prefix + "ProcessorSharePerOther",
                (all.processorSeconds() - ownersProcessor) / seconds / Math.max(1, others));
        json.put(prefix + "PeerBytesPerSecondAndOwner", ownersBytes / seconds / Math.max(1, owners.size()));
        json.put(prefix + "LogReadsPerSecondAndHost", (to.logReads() - from.logReads()) / seconds / hosts);
        json.put(prefix + "LogAppendsPerSecond", (to.logAppends() - from.logAppends()) / seconds);
        json.put(
                prefix + "HostListReadsPerSecondAndHost",
                (to.hostListReads() - from.hostListReads()) / seconds / hosts);
    }

    private void measureChanges(Cluster cluster, ObjectNode json, int count) throws Exception {
        double[] milliseconds = new double[count];
        long bytes = cluster.log().counters().get("bytes");
        for (int change = 0; change < count; change++) {
            milliseconds[change] = measureChange(cluster, change % 2 == 0 ? "peak" : "ordinary");
        }
        Arrays.sort(milliseconds);
        json.put("changeMedianMilliseconds", milliseconds[count / 2]);
        json.put("changeSlowestMilliseconds", milliseconds[count - 1]);
        json.put("changeLogBytes", (cluster.log().counters().get("bytes") - bytes) / count);
    }

    /** Returns the milliseconds until a change of the preset is in force on all hosts. */
    private double measureChange(Cluster cluster, String preset) throws Exception {
        long version = client.configurationVersion(cluster.hosts().get(0));
        long begin = System.nanoTime();
        Thread operator = new Thread(() -> cluster.runTool("preset", "use", preset), "operator");
        operator.start();
        for (ClusterHost host : cluster.hosts()) {
            while (client.configurationVersion(host) <= version) {
                if (System.nanoTime() - begin > Duration.ofSeconds(30).toNanos()) {
                    throw new IllegalStateException("the change is not in force on " + host.id() + " after 30 s");
                }
                Thread.sleep(1);
            }
        }
        double milliseconds = (System.nanoTime() - begin) / 1e6;
        operator.join(Duration.ofSeconds(30).toMillis());
        return milliseconds;
    }
}
