package org.banyanstair.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.Properties;

import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.banyanstair.cli.output.Messages;

/** Prints the help and the version of the tool. */
final class HelpPrinter {
    private static final int LINE_WIDTH_CHARACTERS = 100;
    private static final String POM_PROPERTIES = "/META-INF/maven/org.banyanstair/banyanstair-cli/pom.properties";

    private final PrintStream out;

    HelpPrinter(PrintStream out) {
        this.out = out;
    }

    void printHelp(Optional<CommandDefinition> definition) {
        out.println(Messages.format("usage"));
        out.println(Messages.format("usage.commands"));
        for (CommandDefinition command : CommandDefinition.all()) {
            String words = command.name()
                    + command.argument().map(argument -> " " + argument).orElse("");
            out.printf(
                    "  %-18s %s%n",
                    words, Messages.format("command." + command.name().replace(' ', '-')));
        }
        definition.ifPresent(this::printCommandOptions);
        out.println(Messages.format("usage.options"));
        printOptions(GlobalOptions.options());
        out.println(Messages.format("usage.exit-codes"));
    }

    private void printCommandOptions(CommandDefinition definition) {
        if (!definition.options().isEmpty()) {
            out.println(Messages.format("usage.command-options", definition.name()));
            printOptions(definition.commandOptions());
        }
    }

    private void printOptions(Options options) {
        PrintWriter writer = new PrintWriter(out);
        new HelpFormatter().printOptions(writer, LINE_WIDTH_CHARACTERS, options, 2, 2);
        writer.flush();
    }

    void printVersion() {
        out.println(Messages.format("version", version()));
    }

    /** Reads the version from the properties file that Maven adds to the jar. */
    private static String version() {
        try (InputStream stream = HelpPrinter.class.getResourceAsStream(POM_PROPERTIES)) {
            if (stream == null) {
                return Messages.format("version.unknown");
            }
            Properties properties = new Properties();
            properties.load(stream);
            return properties.getProperty("version");
        } catch (IOException exception) {
            return Messages.format("version.unknown");
        }
    }
}
