package org.banyanstair.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.Properties;

import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.banyanstair.cli.output.Texts;

/** Prints the help and the version of the tool. */
final class Help {
    private static final int WIDTH = 100;
    private static final String POM_PROPERTIES = "/META-INF/maven/org.banyanstair/banyanstair-cli/pom.properties";

    private final PrintStream out;

    Help(PrintStream out) {
        this.out = out;
    }

    void print(Optional<CommandDefinition> definition) {
        out.println(Texts.of("usage"));
        out.println(Texts.of("usage.commands"));
        for (CommandDefinition command : CommandDefinition.all()) {
            String words = command.name()
                    + command.argument().map(argument -> " " + argument).orElse("");
            out.printf(
                    "  %-18s %s%n", words, Texts.of("command." + command.name().replace(' ', '-')));
        }
        definition.ifPresent(this::printOwnOptions);
        out.println(Texts.of("usage.options"));
        printOptions(GlobalOptions.options());
        out.println(Texts.of("usage.exit-codes"));
    }

    private void printOwnOptions(CommandDefinition definition) {
        if (!definition.options().isEmpty()) {
            out.println(Texts.of("usage.command-options", definition.name()));
            printOptions(definition.ownOptions());
        }
    }

    private void printOptions(Options options) {
        PrintWriter writer = new PrintWriter(out);
        new HelpFormatter().printOptions(writer, WIDTH, options, 2, 2);
        writer.flush();
    }

    void printVersion() {
        out.println(Texts.of("version", version()));
    }

    /** Reads the version that Maven wrote into the jar. */
    private static String version() {
        try (InputStream stream = Help.class.getResourceAsStream(POM_PROPERTIES)) {
            if (stream == null) {
                return Texts.of("version.unknown");
            }
            Properties properties = new Properties();
            properties.load(stream);
            return properties.getProperty("version");
        } catch (IOException exception) {
            return Texts.of("version.unknown");
        }
    }
}
