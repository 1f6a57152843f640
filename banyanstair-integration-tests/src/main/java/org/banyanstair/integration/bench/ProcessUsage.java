package org.banyanstair.integration.bench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;

/** Reads the processor time and memory of a process from {@code /proc}. */
final class ProcessUsage {
    /** The unit of times in {@code /proc/PID/stat}; USER_HZ is 100 on all supported Linux architectures. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int LISTED_THREADS = 8;
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;

    private final Path directory;

    ProcessUsage(long pid) {
        this(Path.of("/proc", Long.toString(pid)));
    }

    ProcessUsage(Path directory) {
        this.directory = directory;
    }

    /** Returns the user and system time since the start of the process, in seconds. */
    double processorSeconds() throws IOException {
        return seconds(Files.readString(directory.resolve("stat")));
    }

    /** Returns the resident set in bytes. */
    long residentBytes() throws IOException {
        for (String line : Files.readAllLines(directory.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
            }
        }
        throw new IOException("no VmRSS line in the status file of the process");
    }

    /** Returns the processor seconds of the live threads, summed over threads whose names differ only in digits. */
    Map<String, Double> processorSecondsByThread() throws IOException {
        Map<String, Double> result = new TreeMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(directory.resolve("task"))) {
            for (Path thread : threads) {
                addThread(result, thread);
            }
        }
        return result;
    }

    /** Returns the processor seconds since an earlier reading, for the threads that used most. */
    ObjectNode topThreads(Map<String, Double> before) throws IOException {
        List<Map.Entry<String, Double>> used = new ArrayList<>();
        processorSecondsByThread()
                .forEach((name, seconds) -> used.add(Map.entry(name, seconds - before.getOrDefault(name, 0.0))));
        used.sort(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()));
        ObjectNode json = Mappers.JSON.createObjectNode();
        used.stream().limit(LISTED_THREADS).forEach(entry -> json.put(entry.getKey(), entry.getValue()));
        return json;
    }

    private static void addThread(Map<String, Double> result, Path thread) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
            result.merge(name.replaceAll("[-# ]*\\d+(-\\d+)*$", ""), seconds(stat), Double::sum);
        } catch (NoSuchFileException exception) {
            // The thread has ended since the directory was listed.
        }
    }

    private static double seconds(String stat) {
        // The name in parentheses may contain spaces, so fields are counted from the last parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) / TICKS_PER_SECOND;
    }
}
