package org.banyanstair.placement;

import java.time.Instant;

/**
 * An adapter in a slot.
 *
 * @param state what happens to it
 * @param since when the state began
 * @param inherited whether it was found loaded, so that permits of an earlier owner may use it
 */
record Slot(SlotState state, Instant since, boolean inherited) {
    Slot withState(SlotState next, Instant now) {
        return new Slot(next, now, inherited);
    }
}
