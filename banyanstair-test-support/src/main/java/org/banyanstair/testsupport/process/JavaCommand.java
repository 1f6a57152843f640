package org.banyanstair.testsupport.process;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A Java main class to run with the class path of this process.
 *
 * @param mainClass name of the main class
 * @param heapMegabytes maximum heap, given as {@code -Xmx}
 * @param options further options of the virtual machine
 * @param arguments arguments of the main method
 */
public record JavaCommand(String mainClass, int heapMegabytes, List<String> options, List<String> arguments) {
    /** Copies the lists. */
    public JavaCommand {
        options = List.copyOf(options);
        arguments = List.copyOf(arguments);
    }

    /**
     * Creates a command without further options of the virtual machine.
     *
     * @param mainClass the main class
     * @param heapMegabytes maximum heap
     * @param arguments arguments of the main method
     * @return the command
     */
    public static JavaCommand of(Class<?> mainClass, int heapMegabytes, String... arguments) {
        return new JavaCommand(mainClass.getName(), heapMegabytes, List.of(), List.of(arguments));
    }

    List<String> commandLine() {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.add("-Xmx" + heapMegabytes + "m");
        commandLine.addAll(options);
        commandLine.add("-cp");
        commandLine.add(classPath());
        commandLine.add(mainClass);
        commandLine.addAll(arguments);
        return commandLine;
    }

    /** Entries may be relative to the directory of this process. */
    private static String classPath() {
        List<String> entries = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            entries.add(Path.of(entry).toAbsolutePath().toString());
        }
        return String.join(File.pathSeparator, entries);
    }
}
