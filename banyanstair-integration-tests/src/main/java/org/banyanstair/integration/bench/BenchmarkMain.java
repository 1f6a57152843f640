package org.banyanstair.integration.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.banyanstair.codec.Mappers;

/** Main class of {@code bin/benchmark}: runs one benchmark and writes its figures as JSON. */
public final class BenchmarkMain {
    private static final long DEFAULT_SEED = 20_261_204;

    private static final Map<String, Benchmark> BENCHMARKS = new TreeMap<>(Map.of(
            "added-latency", new AddedLatencyBenchmark(),
            "streams-per-core", new StreamsPerCoreBenchmark(),
            "memory", new MemoryBenchmark(),
            "control", new ControlBenchmark()));

    private BenchmarkMain() {}

    /**
     * Runs a benchmark.
     *
     * @throws Exception if the benchmark fails
     */
    public static void main(String[] arguments) throws Exception {
        Options options = options();
        CommandLine line = parse(options, arguments);
        boolean help = line != null && line.hasOption("help");
        if (help
                || line == null
                || line.getArgList().size() != 1
                || !BENCHMARKS.containsKey(line.getArgList().get(0))) {
            new HelpFormatter().printHelp("benchmark [options] " + String.join("|", BENCHMARKS.keySet()), options);
            System.exit(help ? 0 : 2);
        }
        run(line.getArgList().get(0), line);
        // Idle threads of the HTTP clients would delay the exit of the process.
        System.exit(0);
    }

    private static Options options() {
        return new Options()
                .addOption(
                        Option.builder().longOpt("help").desc("show this help").build())
                .addOption(Option.builder()
                        .longOpt("brief")
                        .desc("short run that only checks the benchmark")
                        .build())
                .addOption(Option.builder()
                        .longOpt("seed")
                        .hasArg()
                        .argName("NUMBER")
                        .desc("seed")
                        .build())
                .addOption(Option.builder()
                        .longOpt("results")
                        .hasArg()
                        .argName("DIRECTORY")
                        .desc("results")
                        .build());
    }

    private static CommandLine parse(Options options, String[] arguments) {
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            // Rejects an invalid seed before the benchmark starts.
            seed(line);
            return line;
        } catch (ParseException exception) {
            System.err.println(exception.getMessage());
            return null;
        }
    }

    private static long seed(CommandLine line) throws ParseException {
        String seed = line.getOptionValue("seed", Long.toString(DEFAULT_SEED));
        try {
            return Long.parseLong(seed);
        } catch (NumberFormatException exception) {
            throw new ParseException("--seed must be a 64-bit integer, not '" + seed + "'");
        }
    }

    private static void run(String name, CommandLine line) throws Exception {
        Path results = Path.of(line.getOptionValue("results", "benchmarks/results"));
        Files.createDirectories(results);
        BenchmarkRun run = new BenchmarkRun(
                line.hasOption("brief"), seed(line), results, Files.createTempDirectory("banyanstair-"));
        Instant startedAt = Instant.now();
        ObjectNode figures = BENCHMARKS.get(name).run(run);
        write(run.file(name, "json"), document(name, run, startedAt, figures));
    }

    private static ObjectNode document(String name, BenchmarkRun run, Instant startedAt, ObjectNode figures) {
        ObjectNode document = Mappers.JSON.createObjectNode();
        document.put("benchmark", name)
                .put("brief", run.brief())
                .put("seed", run.seed())
                .put("startedAt", startedAt.toString())
                .put("endedAt", Instant.now().toString())
                .put("javaVersion", System.getProperty("java.version"))
                .put("processors", Runtime.getRuntime().availableProcessors());
        document.set("figures", figures);
        return document;
    }

    private static void write(Path file, ObjectNode document) throws IOException {
        String text = Mappers.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document);
        Files.writeString(file, text + "\n");
        System.out.println(text);
        System.out.println("written to " + file);
    }
}
