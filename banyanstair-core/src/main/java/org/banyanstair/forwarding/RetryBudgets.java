package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.banyanstair.routing.RetryBudget;

/** The retries that this host may make for each service: its part of what all hosts share. */
final class RetryBudgets {
    private final ForwardingSettings settings;
    private final PeerTable peers;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryBudgets(ForwardingSettings settings, PeerTable peers) {
        this.settings = settings;
        this.peers = peers;
    }

    /** A request came, which earns a share of a retry. */
    void countFirst(String service, Instant now) {
        budget(service).recordFirstAttempt(now);
    }

    /** Takes a retry if one is left. */
    boolean tryRetry(String service, Instant now) {
        double slack = (double) settings.retrySlack() / (peers.size() + 1);
        return budget(service).tryAcquire(settings.retryShare(), slack, now);
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget());
    }
}
