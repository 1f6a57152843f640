package org.banyanstair.membership;

/** State of an entry in the host list. */
public enum Presence {
    /** Takes work. */
    LIVE,
    /** Takes no new work and will go. */
    LEAVING
}
