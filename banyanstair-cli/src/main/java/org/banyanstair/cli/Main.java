package org.banyanstair.cli;

import java.util.Optional;

/** Entry point of {@code banyanstairctl}. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        // Charts are drawn into files; without this setting AWT looks for a display.
        System.setProperty("java.awt.headless", "true");
        CommandLineTool tool = new CommandLineTool(
                name -> Optional.ofNullable(System.getenv(name)), System.out, System.err, System.console() != null);
        System.exit(tool.run(arguments).value());
    }
}
