package org.banyanstair.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;

/**
 * The requests that this host borrows from the parts that other hosts have of limits.
 *
 * <p>The lender counts a loan when it grants it, and the loan lapses at the time-out of the message that asked for it, so
 * that loans move requests in time by no more than that. Not thread-safe.
 */
public final class LoanRequests {
    /** Time for which a lender that refused is not asked again, for each host with requests; bounds what it receives. */
    private static final Duration PAUSE_PER_HOST = Duration.ofMillis(30);

    /** Refusals in a row by a lender for each of which that time is doubled. */
    private static final int MAXIMUM_DOUBLINGS = 2;

    /** Longest wait that a lender's refusal causes, since the limit may change. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(3);

    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<HostId, Instant> pausedUntil = new HashMap<>();
    private final Map<HostId, Integer> refusals = new HashMap<>();
    private final Map<Endpoint, Loan> loans = new HashMap<>();
    private long asked;

    private record Pending(HostId lender, Instant deadline, int hosts) {}

    private record Endpoint(EndpointId id, long started) {}

    private record Loan(int requests, Instant lapsesAt) {}

    /**
     * Starts to wait for a loan.
     *
     * @param request identifies what waits
     * @param lenders hosts that have a part of a limit
     * @param hosts hosts with requests that may borrow
     * @param deadline when the lender no longer needs to answer
     * @return the lender to ask; empty if all have refused lately
     */
    public Optional<HostId> begin(long request, List<HostId> lenders, int hosts, Instant deadline, Instant now) {
        expire(now);
        List<HostId> ready = lenders.stream()
                .filter(lender -> !now.isBefore(pausedUntil.getOrDefault(lender, Instant.MIN)))
                .toList();
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        HostId lender = ready.get((int) (asked++ % ready.size()));
        pending.put(request, new Pending(lender, deadline, hosts));
        return Optional.of(lender);
    }

    /** Returns whether an answer of a lender is still due. */
    public boolean isPending(long request, Instant now) {
        return pending.containsKey(request) && now.isBefore(pending.get(request).deadline);
    }

    /** Returns when a lender may be asked again; empty if none has refused lately. */
    public Optional<Instant> nextRequestAt(Instant now) {
        return pausedUntil.values().stream().filter(now::isBefore).min(Instant::compareTo);
    }

    /** Adds a loan; returns whether this host still waits for it. */
    public boolean granted(long request, HostId lender, EndpointId endpoint, long started, Instant now) {
        if (!isAwaitedFrom(request, lender, now)) {
            return false;
        }
        Instant deadline = pending.remove(request).deadline;
        refusals.remove(lender);
        loans.merge(
                new Endpoint(endpoint, started),
                new Loan(1, deadline),
                (known, added) -> new Loan(known.requests + 1, earlier(known.lapsesAt, added.lapsesAt)));
        return true;
    }

    /**
     * Applies a lender's refusal; returns whether this host still waits for its answer.
     *
     * @param readyAt when the lender has room again
     */
    public boolean refused(long request, HostId lender, Instant readyAt, Instant now) {
        if (!isAwaitedFrom(request, lender, now)) {
            return false;
        }
        pause(pending.remove(request), readyAt, now);
        return true;
    }

    private boolean isAwaitedFrom(long request, HostId lender, Instant now) {
        return isPending(request, now) && pending.get(request).lender.equals(lender);
    }

    /** Returns whether a loan allows a request to an endpoint's process. */
    public boolean allowsRequest(EndpointId endpoint, long started, Instant now) {
        Loan loan = loans.get(new Endpoint(endpoint, started));
        return loan != null && now.isBefore(loan.lapsesAt);
    }

    /** Uses a loan; returns whether there was one. */
    public boolean use(EndpointId endpoint, long started, Instant now) {
        boolean allowed = allowsRequest(endpoint, started, now);
        if (allowed) {
            loans.computeIfPresent(
                    new Endpoint(endpoint, started),
                    (key, loan) -> loan.requests == 1 ? null : new Loan(loan.requests - 1, loan.lapsesAt));
        }
        return allowed;
    }

    /** Removes what has lapsed; a lender that did not answer counts as one that refused. */
    public void expire(Instant now) {
        Set<Long> silent = new HashSet<>();
        pending.forEach((request, each) -> {
            if (!now.isBefore(each.deadline)) {
                silent.add(request);
            }
        });
        silent.forEach(request -> pause(pending.remove(request), now, now));
        loans.values().removeIf(loan -> !now.isBefore(loan.lapsesAt));
        pausedUntil.values().removeIf(until -> !now.isBefore(until));
    }

    private void pause(Pending refused, Instant readyAt, Instant now) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, refusals.merge(refused.lender, 1, Integer::sum) - 1);
        Instant earliest = now.plus(PAUSE_PER_HOST.multipliedBy((long) refused.hosts << doublings));
        Instant until = earlier(readyAt, now.plus(MAXIMUM_WAIT));
        pausedUntil.put(refused.lender, until.isAfter(earliest) ? until : earliest);
    }

    private static Instant earlier(Instant left, Instant right) {
        return left.isBefore(right) ? left : right;
    }
}
