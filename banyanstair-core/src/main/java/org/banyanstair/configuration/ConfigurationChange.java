package org.banyanstair.configuration;

import java.util.List;

import org.banyanstair.external.LogEntry;

/**
 * A change as it stands in the log.
 *
 * @param changeId unique id that the operator's tool chose
 * @param baseVersion version that the operator started from
 * @param author operator that made it
 * @param operations steps, in order
 */
public record ConfigurationChange(String changeId, long baseVersion, String author, List<Operation> operations)
        implements LogEntry {
    /** Copies the list. */
    public ConfigurationChange {
        operations = List.copyOf(operations);
    }
}
