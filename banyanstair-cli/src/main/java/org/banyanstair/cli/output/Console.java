package org.banyanstair.cli.output;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureText;

/** Prints results to standard output, and errors, warnings and progress to standard error. For use by one thread. */
public final class Console {
    /** Form of the output. */
    public enum Format {
        /** For people. */
        TEXT,
        /** One JSON document per result. */
        JSON
    }

    /** The declared type of the details makes Jackson write the name of the failure; a value in a map has none. */
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
     * @param out standard output
     * @param err standard error
     * @param format form of the output
     * @param interactive whether a person watches, so that progress is worth showing
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
     * @param document value for JSON output
     * @param lines lines for text output
     */
    public void printResult(Object document, List<String> lines) {
        endProgress();
        if (format == Format.JSON) {
            out.println(toJson(document));
        } else {
            lines.forEach(out::println);
        }
    }

    /**
     * Prints a note that is not part of the result.
     *
     * @param text the note
     */
    public void printNote(String text) {
        endProgress();
        err.println(format == Format.JSON ? toJson(Map.of("note", text)) : text);
    }

    /**
     * Shows progress on a terminal, in place of the progress shown before.
     *
     * @param text the progress
     */
    public void showProgress(String text) {
        if (interactive && format == Format.TEXT) {
            err.print("\r" + text + "\u001b[K");
            err.flush();
            progressShown = true;
        }
    }

    /**
     * Prints errors with their codes.
     *
     * @param failures the errors
     */
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
            throw new IllegalStateException("a result cannot be written as JSON", exception);
        }
    }
}
