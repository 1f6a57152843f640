package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.banyanstair.routing.RetryBudget;

/** Retry budgets of this host for each service: its share of the budget of all hosts. */
final class RetryBudgets {
    private final ForwardingSettings settings;
    private final PeerTable peers;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryBudgets(ForwardingSettings settings, PeerTable peers) {
        this.settings = settings;
        this.peers = peers;
    }

    /** Counts a first attempt, which adds to the budget. */
    void recordFirstAttempt(String service, Instant now) {
        budget(service).recordFirstAttempt(now);
    }

    /** Takes a retry from the budget; returns whether one was left. */
    boolean tryAcquire(String service, Instant now) {
        double slack = (double) settings.retrySlack() / (peers.size() + 1);
        return budget(service).tryAcquire(settings.retryShare(), slack, now);
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget());
    }
}
