package org.banyanstair.placement;

/** State of an adapter in a slot of an engine. */
enum SlotState {
    /** A load was ordered. */
    LOADING,
    /** The adapter can serve. */
    LOADED,
    /** An unload is being announced in the log; no new permits. */
    ANNOUNCED,
    /** An unload was ordered; no new permits. */
    UNLOADING
}
