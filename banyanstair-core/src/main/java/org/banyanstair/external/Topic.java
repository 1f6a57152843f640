package org.banyanstair.external;

/** A compacted topic of the platform's log that hosts follow. */
public enum Topic {
    /** The operators' configuration and adapter versions. */
    CONFIGURATION,
    /** The endpoints' entries. */
    ENDPOINTS,
    /** Which host commands each runner; written by hosts. */
    CLAIMS,
    /** The entry hosts; written by hosts. */
    HOSTS
}
