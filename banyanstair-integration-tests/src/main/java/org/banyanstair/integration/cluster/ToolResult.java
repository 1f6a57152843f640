package org.banyanstair.integration.cluster;

/**
 * What a run of the command-line tool gave.
 *
 * @param code exit code
 * @param output standard output
 * @param errors standard error
 */
public record ToolResult(int code, String output, String errors) {}
