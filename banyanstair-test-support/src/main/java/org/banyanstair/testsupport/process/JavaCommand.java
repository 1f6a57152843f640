package org.banyanstair.testsupport.process;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Command that runs a Java main class with the class path of this process.
 *
 * @param mainClass name of the main class
 * @param heapMegabytes maximum heap size ({@code -Xmx})
 * @param options other JVM options
 */
public record JavaCommand(String mainClass, int heapMegabytes, List<String> options, List<String> arguments) {
    /** Makes unmodifiable copies of the lists. */
    public JavaCommand {
        options = List.copyOf(options);
        arguments = List.copyOf(arguments);
    }

    /**
     * Creates a command without other JVM options.
     *
     * @param heapMegabytes maximum heap size ({@code -Xmx})
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

    /** Makes the entries absolute, because they may be relative to the working directory of this process. */
    private static String classPath() {
        List<String> entries = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            entries.add(Path.of(entry).toAbsolutePath().toString());
        }
        return String.join(File.pathSeparator, entries);
    }
}
