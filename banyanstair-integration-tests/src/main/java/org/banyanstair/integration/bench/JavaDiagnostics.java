package org.banyanstair.integration.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the heap of a Java process with {@code jcmd}. */
final class JavaDiagnostics {
    private static final Pattern TOTAL = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");

    private JavaDiagnostics() {}

    /** Returns the size of the live objects in bytes; the class histogram forces a full garbage collection. */
    static long liveHeapBytes(long pid) throws IOException, InterruptedException {
        return totalBytes(command(pid, "GC.class_histogram"));
    }

    /** Returns the total size in bytes from a class histogram. */
    static long totalBytes(String histogram) throws IOException {
        Matcher total = TOTAL.matcher(histogram);
        if (!total.find()) {
            throw new IOException("no total line in the class histogram of jcmd");
        }
        return Long.parseLong(total.group(1));
    }

    private static String command(long pid, String command) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        Process process = new ProcessBuilder(jcmd.toString(), Long.toString(pid), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (process.waitFor() != 0) {
            throw new IOException("jcmd " + command + " failed: " + output.strip());
        }
        return output;
    }
}
