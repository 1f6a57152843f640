package org.banyanstair.integration.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;

/** Main class of {@code bin/quickstart}. */
public final class QuickStart {
    private static final int SUCCESS = 0;
    private static final int PROMISE_BROKEN = 1;
    private static final int INVALID_ARGUMENTS = 2;
    private static final int FAILED = 3;

    private QuickStart() {}

    /** Runs the sample traffic, or with {@code --serve} keeps the cluster running until SIGTERM. */
    public static void main(String[] arguments) {
        int code = run(arguments);
        System.out.flush();
        // The shutdown hook of serve() waits for this thread, so exit() would deadlock; halt() skips the hook.
        Runtime.getRuntime().halt(code);
    }

    private static int run(String[] arguments) {
        Options options = new Options()
                .addOption(option("serve")
                        .desc("leave the system running until SIGTERM")
                        .build())
                .addOption(option("help").desc("show this help").build())
                .addOption(option("declarations")
                        .hasArg()
                        .argName("FILE")
                        .desc("declarations to apply")
                        .build());
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                new HelpFormatter().printHelp("quickstart [--serve]", options);
                return SUCCESS;
            }
            if (!line.hasOption("declarations") || !line.getArgList().isEmpty()) {
                throw new ParseException("--declarations is required, and there are no arguments");
            }
            Path declarations = Path.of(line.getOptionValue("declarations"));
            return line.hasOption("serve")
                    ? serve(declarations, System.out)
                    : runSampleTraffic(declarations, System.out);
        } catch (ParseException exception) {
            System.err.println(exception.getMessage());
            return INVALID_ARGUMENTS;
        } catch (IOException | TimeoutException | RuntimeException exception) {
            System.err.println("quick start failed: " + exception);
            return FAILED;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    private static Option.Builder option(String name) {
        return Option.builder().longOpt(name);
    }

    /** Starts a cluster, runs the sample traffic once, prints the report and returns the exit code. */
    static int runSampleTraffic(Path declarations, PrintStream out)
            throws IOException, InterruptedException, TimeoutException {
        try (SampleCluster system = new SampleCluster()) {
            system.start(declarations);
            Cluster cluster = system.cluster();
            out.printf(
                    "Started %d entry hosts, %d engines and %d order desks on loopback%n%n",
                    cluster.hosts().size(),
                    cluster.engines().size(),
                    cluster.serviceEndpoints().size());
            QuickStartResult result = new SampleRun(cluster).run();
            QuickStartReport.lines(result).forEach(out::println);
            String names = result.broken().stream()
                    .map(broken -> broken.promise().text())
                    .distinct()
                    .collect(Collectors.joining("; "));
            out.println();
            out.println(names.isEmpty() ? "All promises held." : "Broken: " + names);
            return names.isEmpty() ? SUCCESS : PROMISE_BROKEN;
        }
    }

    private static int serve(Path declarations, PrintStream out) throws IOException, InterruptedException {
        CountDownLatch stop = new CountDownLatch(1);
        Thread main = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(stop, main), "quickstart-stop"));
        try (SampleCluster system = new SampleCluster()) {
            system.start(declarations);
            addressLines(system.cluster().hosts()).forEach(out::println);
            out.flush();
            stop.await();
        }
        return SUCCESS;
    }

    private static void stop(CountDownLatch stop, Thread main) {
        stop.countDown();
        try {
            main.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> addressLines(List<ClusterHost> hosts) {
        return hosts.stream()
                .map(host -> "caller=http://" + host.caller() + " operator=http://" + host.operator() + " caller-key="
                        + Cluster.key(Cluster.CALLER) + " operator-key=" + Cluster.OPERATOR_KEY)
                .toList();
    }
}
