package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Context of the handling of one event: its instant, how late the host noticed it, and the effects so far. */
final class EventContext {
    private final TickMonitor ticks = new TickMonitor();
    private Instant now = Instant.MIN;
    private List<ForwardingEffect> effects = new ArrayList<>();

    void begin(Instant instant) {
        now = instant;
        effects = new ArrayList<>();
    }

    Instant now() {
        return now;
    }

    TickMonitor ticks() {
        return ticks;
    }

    long millisecondsSince(Instant instant) {
        return Duration.between(instant, now).toMillis();
    }

    void emit(ForwardingEffect effect) {
        effects.add(effect);
    }

    void emit(List<ForwardingEffect> more) {
        effects.addAll(more);
    }

    void log(DecisionRecord decision) {
        effects.add(new ForwardingEffect.Log(decision));
    }

    List<ForwardingEffect> effects() {
        return effects;
    }
}
