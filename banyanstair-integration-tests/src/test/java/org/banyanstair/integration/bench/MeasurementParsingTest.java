package org.banyanstair.integration.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against measurements that are read from the wrong field of their source. */
class MeasurementParsingTest {
    private static final String TIMES = " 0 0 0 0 0 0 0 0 0 0 ";

    private static String stat(String name, int user, int system) {
        // Fields 4 to 13 lie between the state and the user time.
        return "7 (" + name + ") S" + TIMES + user + " " + system + " 0 0 20 0";
    }

    @Test
    void processorTimeIsReadAfterANameWithSpaces(@TempDir Path directory) throws IOException {
        Files.writeString(directory.resolve("stat"), stat("a b) c", 150, 50));
        assertEquals(2.0, new ProcessUsage(directory).processorSeconds());
    }

    @Test
    void threadsOfOnePoolAreSummed(@TempDir Path directory) throws IOException {
        writeThread(directory, 1, "http-1-1", 100);
        writeThread(directory, 2, "http-1-2", 200);
        writeThread(directory, 3, "reducer", 50);
        assertEquals(Map.of("http", 3.0, "reducer", 0.5), new ProcessUsage(directory).processorSecondsByThread());
    }

    private static void writeThread(Path directory, int id, String name, int ticks) throws IOException {
        Path thread = Files.createDirectories(directory.resolve("task").resolve(Integer.toString(id)));
        Files.writeString(thread.resolve("stat"), stat(name, ticks, 0));
    }

    @Test
    void residentSetIsInBytes(@TempDir Path directory) throws IOException {
        Files.writeString(directory.resolve("status"), "VmPeak:\t  999 kB\nVmRSS:\t  12 kB\n");
        assertEquals(12_288, new ProcessUsage(directory).residentBytes());
    }

    @Test
    void sampleWithALongerNameIsNotMatched() {
        MetricsText metrics = new MetricsText("bytes_in_total 5.0\nbytes_in 7.0\n");
        assertEquals(7.0, metrics.value("bytes_in"));
        assertThrows(IllegalArgumentException.class, () -> metrics.value("bytes"));
    }

    @Test
    void totalOfTheHistogramIsItsBytes() throws IOException {
        String histogram = "   1:  10  480  [B\nTotal          1234         567890\n";
        assertEquals(567_890, JavaDiagnostics.totalBytes(histogram));
    }
}
