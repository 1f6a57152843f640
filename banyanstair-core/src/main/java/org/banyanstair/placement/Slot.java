package org.banyanstair.placement;

import java.time.Instant;

/**
 * An adapter in a slot.
 *
 * @param since when it entered the state
 * @param inherited whether it was found loaded on the engine, so that permits of an earlier owner may use it
 */
record Slot(SlotState state, Instant since, boolean inherited) {
    Slot withState(SlotState next, Instant now) {
        return new Slot(next, now, inherited);
    }
}
