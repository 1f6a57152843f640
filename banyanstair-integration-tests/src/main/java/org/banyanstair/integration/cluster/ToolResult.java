package org.banyanstair.integration.cluster;

/** Exit code, standard output and standard error of a run of the command-line tool. */
public record ToolResult(int code, String output, String errors) {}
