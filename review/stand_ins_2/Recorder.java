import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final PrintWriter output;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        output = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized double line(String text) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        output.println(String.format(Locale.ROOT, "%8.3f  %s", seconds, text));
        return seconds;
    }

    synchronized void result(String text) {
        line(text);
        output.flush();
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        output.close();
    }
}
