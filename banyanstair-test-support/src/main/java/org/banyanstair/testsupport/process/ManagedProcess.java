package org.banyanstair.testsupport.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.banyanstair.model.NetworkAddress;

/** A child process that a {@link ProcessLauncher} has started and that has printed its ready line. */
public final class ManagedProcess {
    private static final long SIGNAL_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Process process;
    private final ProcessOutput output;
    private final String ready;

    ManagedProcess(String name, Process process, ProcessOutput output, String ready) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.ready = ready;
    }

    /** Returns the name given to the launcher. */
    public String name() {
        return name;
    }

    /** Returns the rest of the line that starts with {@code ready }. */
    public String ready() {
        return ready;
    }

    /** Returns the address that follows {@code ready } in the ready line. */
    public NetworkAddress address() {
        return NetworkAddress.parse(ready.split(" ", 2)[0]);
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the path of the file with standard output and standard error. */
    public Path output() {
        return output.path();
    }

    /** Returns whether the process has not ended; true for a paused process. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM; does nothing if the process has ended. A paused process handles it when it is resumed. */
    public void terminate() {
        process.destroy();
    }

    /** Sends SIGHUP; does nothing if the process has ended. */
    public void hangUp() {
        signal("HUP");
    }

    /** Sends SIGKILL; does nothing if the process has ended. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Sends SIGSTOP; does nothing if the process has ended. */
    public void pause() {
        signal("STOP");
    }

    /** Sends SIGCONT; does nothing if the process has ended. */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits for the process to end.
     *
     * @param deadline when to stop waiting
     * @return exit status, empty if the process has not ended by then
     */
    public OptionalInt waitFor(Instant deadline) {
        try {
            long left = Math.max(0, Duration.between(Instant.now(), deadline).toMillis());
            return process.waitFor(left, TimeUnit.MILLISECONDS)
                    ? OptionalInt.of(process.exitValue())
                    : OptionalInt.empty();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    /** Sends a signal unless the process has ended, because its id may have been reused then. */
    private void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        try {
            Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            if (!kill.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0 && process.isAlive()) {
                throw new IllegalStateException("cannot send signal " + signal + " to process " + name);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }
}
