package org.banyanstair.cli;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.banyanstair.cli.output.Texts;

/** The options of all commands, accepted before and after the command. */
final class GlobalOptions {
    static final String OPERATOR = "operator";
    static final String KEY_FILE = "key-file";
    static final String OUTPUT = "output";
    static final String HELP = "help";
    static final String VERSION = "version";

    private GlobalOptions() {}

    static Options options() {
        return new Options()
                .addOption(withValue(OPERATOR, "URL"))
                .addOption(withValue(KEY_FILE, "FILE"))
                .addOption(withValue(OUTPUT, "FORMAT"))
                .addOption(flag(HELP))
                .addOption(flag(VERSION));
    }

    static Option withValue(String name, String valueName) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(Texts.of("option." + name))
                .build();
    }

    static Option flag(String name) {
        return Option.builder().longOpt(name).desc(Texts.of("option." + name)).build();
    }
}
