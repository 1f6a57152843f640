package org.banyanstair.cli;

import java.util.Optional;

/** Entry point of {@code banyanstairctl}. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its code. */
    public static void main(String[] arguments) {
        // Charts are rendered to files; AWT would otherwise require a display.
        System.setProperty("java.awt.headless", "true");
        CommandLineTool tool = new CommandLineTool(
                name -> Optional.ofNullable(System.getenv(name)), System.out, System.err, System.console() != null);
        System.exit(tool.run(arguments).value());
    }
}
