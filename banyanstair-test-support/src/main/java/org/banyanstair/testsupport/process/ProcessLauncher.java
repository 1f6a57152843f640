package org.banyanstair.testsupport.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Starts child processes of a test and kills those that are still running at its end.
 *
 * <p>Thread-safe. A shutdown hook kills the remaining processes when this process ends.
 */
public final class ProcessLauncher {
    private static final long READY_POLL_MILLIS = 5;
    private static final long KILL_TIMEOUT_SECONDS = 5;

    private final Path directory;
    private final Set<Process> started = ConcurrentHashMap.newKeySet();
    private final Thread shutdownHook = new Thread(this::killAll, "process-launcher-shutdown");

    /**
     * Creates a launcher.
     *
     * @param directory directory for the output files {@code NAME.log}, created if necessary
     */
    public ProcessLauncher(Path directory) {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a Java main class and waits for its ready line.
     *
     * @param name name of the process and of its output file, to which later processes of the same name append
     * @param deadline when the process must have printed a line that starts with {@code ready }
     * @throws ProcessStartException if the process ends or is not ready in time; it is killed then
     */
    public ManagedProcess startJava(String name, JavaCommand command, Instant deadline) {
        return start(name, command.commandLine(), deadline);
    }

    /**
     * Starts a program or script and waits for its ready line. A script must end with {@code exec}, because signals are
     * sent to the process of the script only.
     *
     * @param name name of the process and of its output file, to which later processes of the same name append
     * @param deadline when the process must have printed a line that starts with {@code ready }
     * @throws ProcessStartException if the process ends or is not ready in time; it is killed then
     */
    public ManagedProcess startScript(String name, Path script, List<String> arguments, Instant deadline) {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(script.toAbsolutePath().toString());
        commandLine.addAll(arguments);
        return start(name, commandLine, deadline);
    }

    /** Kills the remaining processes and waits for them to end. The launcher can be used again. */
    public void stop() {
        killAll();
        for (Process process : started) {
            try {
                process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(exception);
            }
        }
        started.clear();
    }

    private void killAll() {
        started.forEach(Process::destroyForcibly);
    }

    private ManagedProcess start(String name, List<String> commandLine, Instant deadline) {
        ProcessOutput output = new ProcessOutput(directory.resolve(name + ".log"));
        Process process = launch(commandLine, output.path());
        started.add(process);
        process.onExit().thenAccept(started::remove);
        try {
            return new ManagedProcess(name, process, output, awaitReady(name, process, output, deadline));
        } catch (ProcessStartException exception) {
            process.destroyForcibly();
            throw exception;
        }
    }

    private static Process launch(List<String> commandLine, Path output) {
        try {
            return new ProcessBuilder(commandLine)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String awaitReady(String name, Process process, ProcessOutput output, Instant deadline) {
        while (true) {
            boolean ended = !process.isAlive();
            Optional<String> ready = output.readyMessage();
            if (ready.isPresent()) {
                return ready.get();
            }
            if (ended) {
                throw new ProcessStartException(
                        name,
                        "ended with status " + process.exitValue() + " before it printed its ready line",
                        output.tail());
            }
            if (!Instant.now().isBefore(deadline)) {
                throw new ProcessStartException(
                        name, "did not print its ready line before the deadline", output.tail());
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(READY_POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }
}
