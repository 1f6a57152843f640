package org.banyanstair.teams;

/** Where a host's knowledge of the configuration was confirmed. */
public enum KnowledgeSource {
    /** By a read of the log. */
    LOG,
    /** By the response of a peer. */
    PEER
}
