package org.banyanstair.cli.output;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureText;

/** Prints results to standard output, and errors, notes and progress to standard error. Not thread-safe. */
public final class Console {
    /** Output format. */
    public enum Format {
        /** Human-readable text. */
        TEXT,
        /** One JSON document per result. */
        JSON
    }

    /**
     * JSON form of a failure. The details have the declared type {@link Failure}, because Jackson writes the type id of
     * the failure only for a declared type, not for a value in a map.
     */
    private record ErrorDocument(String code, String text, Failure details) {
        static ErrorDocument of(Failure failure) {
            return new ErrorDocument(failure.code(), FailureText.of(failure), failure);
        }
    }

    private final PrintStream out;
    private final PrintStream err;
    private final Format format;
    private final boolean interactive;
    private boolean progressShown;

    /**
     * Creates a console.
     *
     * @param interactive whether the output goes to a terminal, so that progress is shown
     */
    public Console(PrintStream out, PrintStream err, Format format, boolean interactive) {
        this.out = out;
        this.err = err;
        this.format = format;
        this.interactive = interactive;
    }

    /**
     * Prints a result.
     *
     * @param document printed in JSON format
     * @param lines printed in text format
     */
    public void printResult(Object document, List<String> lines) {
        endProgress();
        if (format == Format.JSON) {
            out.println(toJson(document));
        } else {
            lines.forEach(out::println);
        }
    }

    /** Prints a note that is not part of the result to standard error. */
    public void printNote(String text) {
        endProgress();
        err.println(format == Format.JSON ? toJson(Map.of("note", text)) : text);
    }

    /** Shows progress on a terminal, replacing the previous progress line; does nothing otherwise. */
    public void showProgress(String text) {
        if (interactive && format == Format.TEXT) {
            err.print("\r" + text + "\u001b[K");
            err.flush();
            progressShown = true;
        }
    }

    /** Prints failures with their codes to standard error. */
    public void printFailures(List<Failure> failures) {
        endProgress();
        if (format == Format.JSON) {
            err.println(toJson(
                    Map.of("errors", failures.stream().map(ErrorDocument::of).toList())));
        } else {
            failures.forEach(failure -> err.println(Messages.format("error", failure.code(), FailureText.of(failure))));
        }
    }

    private void endProgress() {
        if (progressShown) {
            err.println();
            progressShown = false;
        }
    }

    private static String toJson(Object document) {
        try {
            return Mappers.JSON.writeValueAsString(document);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("failed to serialize a result to JSON", exception);
        }
    }
}
