package org.banyanstair.model;

/** Priority of a caller's request; premium requests go ahead of standard ones. */
public enum PriorityClass {
    /** Goes first. */
    PREMIUM,
    /** Goes after premium, but is promoted once it has waited for the ageing limit of the preset. */
    STANDARD
}
