package org.banyanstair.model;

/** Priority of a request. */
public enum PriorityClass {
    /** Scheduled before standard requests. */
    PREMIUM,
    /** Scheduled after premium requests, but treated like them after the ageing time of the preset. */
    STANDARD
}
