package org.banyanstair.forwarding;

/** What a runner said to a command. */
public enum CommandResult {
    /** It is being carried out. */
    ACCEPTED,
    /** It held already. */
    DONE,
    /** Another command came before, or another is under way. */
    CONFLICT,
    /** The address belongs to another process. */
    OTHER_ENDPOINT,
    /** The runner refuses it for good. */
    INVALID,
    /** No answer came; it may still be carried out. */
    UNKNOWN
}
