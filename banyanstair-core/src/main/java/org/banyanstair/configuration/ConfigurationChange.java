package org.banyanstair.configuration;

import java.util.List;

import org.banyanstair.external.LogEntry;

/**
 * A change of the configuration, as recorded in the log.
 *
 * @param changeId unique id, chosen by the operator's tool
 * @param baseVersion version that the change is based on; it is refused if another version is in force
 * @param author the operator who submitted it
 * @param operations the operations, in the order in which they are applied
 */
public record ConfigurationChange(String changeId, long baseVersion, String author, List<Operation> operations)
        implements LogEntry {
    /** Copies the list. */
    public ConfigurationChange {
        operations = List.copyOf(operations);
    }
}
