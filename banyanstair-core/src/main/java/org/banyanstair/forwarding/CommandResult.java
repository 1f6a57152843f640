package org.banyanstair.forwarding;

/** A runner's answer to a command. */
public enum CommandResult {
    /** The command is being executed. */
    ACCEPTED,
    /** The runner is already in the requested state. */
    DONE,
    /** Another command was accepted before, or is being executed. */
    CONFLICT,
    /** The address belongs to another process. */
    OTHER_ENDPOINT,
    /** The runner rejects the command permanently. */
    INVALID,
    /** No answer arrived; the command may still be executed. */
    UNKNOWN
}
