package org.banyanstair.external;

/** A compacted topic of the external log that hosts follow. */
public enum Topic {
    /** The configuration and the adapter versions, written by operators. */
    CONFIGURATION,
    /** The list of endpoints. */
    ENDPOINTS,
    /** The host that commands each runner, written by hosts. */
    CLAIMS,
    /** The entry hosts, written by hosts. */
    HOSTS,
    /** Which software version began which stream, and which versions serve, written by hosts. */
    STREAMS
}
