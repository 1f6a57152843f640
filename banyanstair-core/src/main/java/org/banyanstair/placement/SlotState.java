package org.banyanstair.placement;

/** State of an adapter in an engine slot. */
enum SlotState {
    /** The load command was sent. */
    LOADING,
    /** The adapter can serve requests. */
    LOADED,
    /** The unload is being announced in the log; no new permits are granted. */
    ANNOUNCED,
    /** The unload command was sent; no new permits are granted. */
    UNLOADING
}
