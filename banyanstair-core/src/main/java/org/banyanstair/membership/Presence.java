package org.banyanstair.membership;

/** State of an entry in the host list. */
public enum Presence {
    /** Accepts work. */
    LIVE,
    /** Accepts no new work and will be removed. */
    LEAVING
}
