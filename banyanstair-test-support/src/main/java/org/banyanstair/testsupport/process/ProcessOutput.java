package org.banyanstair.testsupport.process;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the part of an output file that one process has written. */
final class ProcessOutput {
    private static final String READY_PREFIX = "ready ";
    private static final int TAIL_CHARACTERS = 4_000;

    private final Path path;
    private final long start;

    /** Starts at the current end of the file, which may hold the output of an earlier process of the same name. */
    ProcessOutput(Path path) {
        this.path = path;
        try {
            start = Files.exists(path) ? Files.size(path) : 0;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    Path path() {
        return path;
    }

    /** Returns the rest of the first complete line that starts with {@code ready }. */
    Optional<String> readyMessage() {
        String text = text();
        int complete = text.lastIndexOf('\n') + 1;
        return text.substring(0, complete)
                .lines()
                .filter(line -> line.startsWith(READY_PREFIX))
                .map(line -> line.substring(READY_PREFIX.length()))
                .findFirst();
    }

    String tail() {
        String text = text();
        return text.substring(Math.max(0, text.length() - TAIL_CHARACTERS));
    }

    private String text() {
        try (RandomAccessFile file = new RandomAccessFile(path.toFile(), "r")) {
            byte[] bytes = new byte[(int) (file.length() - start)];
            file.seek(start);
            file.readFully(bytes);
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
