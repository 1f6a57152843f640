package org.banyanstair.cli;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.banyanstair.cli.output.Messages;

/** Options of all commands, accepted before and after the command. */
final class GlobalOptions {
    static final String OPERATOR = "operator";
    static final String KEY_FILE = "key-file";
    static final String OUTPUT = "output";
    static final String HELP = "help";
    static final String VERSION = "version";

    private GlobalOptions() {}

    static Options options() {
        return new Options()
                .addOption(valueOption(OPERATOR, "URL"))
                .addOption(valueOption(KEY_FILE, "FILE"))
                .addOption(valueOption(OUTPUT, "FORMAT"))
                .addOption(flagOption(HELP))
                .addOption(flagOption(VERSION));
    }

    static Option valueOption(String name, String valueName) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(Messages.format("option." + name))
                .build();
    }

    static Option flagOption(String name) {
        return Option.builder()
                .longOpt(name)
                .desc(Messages.format("option." + name))
                .build();
    }
}
