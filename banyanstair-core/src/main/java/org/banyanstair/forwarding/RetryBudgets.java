package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.banyanstair.fairness.RetryShares;
import org.banyanstair.routing.RetryBudget;

/** Retry budgets of this host for each service: its share of the budget of all hosts, divided among the teams. */
final class RetryBudgets {
    private final ForwardingSettings settings;
    private final PeerTable peers;
    private final ServiceAdmission admission;
    private final Map<String, RetryShares> shares = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    RetryBudgets(ForwardingSettings settings, PeerTable peers, ServiceAdmission admission) {
        this.settings = settings;
        this.peers = peers;
        this.admission = admission;
    }

    /** Counts a first attempt, which adds to the budget. */
    void recordFirstAttempt(InFlightRequest inFlight, Instant now) {
        budget(inFlight).recordFirstAttempt(now);
    }

    /** Takes a retry from the budget; returns whether one was left. */
    boolean tryAcquire(InFlightRequest inFlight, Instant now) {
        double slack = (double) settings.retrySlack() / (peers.size() + 1);
        RetryBudget budget = budget(inFlight);
        if (!admission.isActive()) {
            return budget.tryAcquire(settings.retryShare(), slack, now);
        }
        double limit = budget.limit(settings.retryShare(), slack, now);
        boolean granted =
                shares(inFlight).allows(ServiceAdmission.teamOf(inFlight), limit, admission.weights()::weight, now)
                        && budget.tryAcquire(settings.retryShare(), slack, now);
        if (granted) {
            shares(inFlight).recordRetry(ServiceAdmission.teamOf(inFlight), now);
        }
        return granted;
    }

    private RetryBudget budget(InFlightRequest inFlight) {
        return budgets.computeIfAbsent(inFlight.service.name(), name -> new RetryBudget());
    }

    private RetryShares shares(InFlightRequest inFlight) {
        return shares.computeIfAbsent(inFlight.service.name(), name -> new RetryShares());
    }
}
