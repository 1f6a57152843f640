package org.banyanstair.fairness;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.banyanstair.teams.TeamName;

/**
 * Order of the requests that wait on a host for one service: by rank, then by the virtual finish time of their team,
 * then by deadline among those that can still be in time.
 *
 * <p>Within a rank this is self-clocked fair queueing by tokens (S. J. Golestani, "A self-clocked fair queueing scheme
 * for broadband applications", INFOCOM 1994): the virtual time is the finish time of the last served request. Not
 * thread-safe.
 */
public final class FairOrder {
    /**
     * Part of the served tokens that the less urgent ranks which wait have together. A class with up to half of the
     * demand is thereby served at least a quarter as often as all together.
     */
    static final double LOWER_RANKS_SHARE = 0.125;

    private final Map<Integer, RankState> ranks = new TreeMap<>();

    private static final class RankState {
        private double virtualTime;
        private double credit;
        private final Map<TeamName, Double> finishTimes = new HashMap<>();

        RankState copy() {
            RankState copy = new RankState();
            copy.virtualTime = virtualTime;
            copy.credit = credit;
            copy.finishTimes.putAll(finishTimes);
            return copy;
        }

        double finishTime(WaitingTurn<?> turn) {
            return finishTimes.getOrDefault(turn.team(), virtualTime) + turn.tokens() / turn.weight();
        }

        /** Gives teams without a place the virtual time of now; those that have waited keep their place. */
        void startWaiting(Collection<TeamName> teams) {
            teams.forEach(team -> finishTimes.putIfAbsent(team, virtualTime));
        }

        void serve(WaitingTurn<?> turn) {
            double finishTime = finishTime(turn);
            finishTimes.put(turn.team(), finishTime);
            virtualTime = Math.max(virtualTime, finishTime);
        }
    }

    /** Returns the waiting requests in the order in which they would be served from now on. */
    public <T> List<WaitingTurn<T>> order(Collection<WaitingTurn<T>> waiting, Instant now) {
        Comparator<WaitingTurn<T>> byDeadline = Comparator.<WaitingTurn<T>, Boolean>comparing(
                        turn -> turn.latestStart().isBefore(now))
                .thenComparing(WaitingTurn::latestStart);
        Map<Integer, Map<TeamName, Deque<WaitingTurn<T>>>> queues = waiting.stream()
                .sorted(byDeadline)
                .collect(Collectors.groupingBy(
                        WaitingTurn::rank,
                        TreeMap::new,
                        Collectors.groupingBy(
                                WaitingTurn::team, TreeMap::new, Collectors.toCollection(ArrayDeque::new))));
        Map<Integer, RankState> states = new TreeMap<>();
        queues.forEach((rank, teams) -> {
            RankState state = ranks.getOrDefault(rank, new RankState()).copy();
            state.startWaiting(teams.keySet());
            states.put(rank, state);
        });
        List<WaitingTurn<T>> result = new ArrayList<>();
        while (!queues.isEmpty()) {
            WaitingTurn<T> next = next(queues, states);
            result.add(next);
            Map<TeamName, Deque<WaitingTurn<T>>> teams = queues.get(next.rank());
            teams.get(next.team()).removeFirst();
            teams.values().removeIf(Collection::isEmpty);
            queues.values().removeIf(Map::isEmpty);
            states.get(next.rank()).serve(next);
            giveCredit(next, states, queues.keySet());
        }
        return result;
    }

    private static <T> WaitingTurn<T> next(
            Map<Integer, Map<TeamName, Deque<WaitingTurn<T>>>> queues, Map<Integer, RankState> states) {
        WaitingTurn<T> first = null;
        for (Map.Entry<Integer, Map<TeamName, Deque<WaitingTurn<T>>>> rank : queues.entrySet()) {
            RankState state = states.get(rank.getKey());
            WaitingTurn<T> head = rank.getValue().values().stream()
                    .map(Deque::peekFirst)
                    .min(Comparator.comparingDouble(state::finishTime))
                    .orElseThrow();
            if (first == null) {
                first = head;
            } else if (state.credit >= head.tokens()) {
                return head;
            }
        }
        return first;
    }

    private static void giveCredit(
            WaitingTurn<?> served, Map<Integer, RankState> states, Collection<Integer> waitingRanks) {
        RankState own = states.get(served.rank());
        own.credit = Math.max(0, own.credit - served.tokens());
        List<Integer> lower =
                waitingRanks.stream().filter(rank -> rank > served.rank()).toList();
        lower.forEach(rank -> states.get(rank).credit += served.tokens() * LOWER_RANKS_SHARE / lower.size());
    }

    /**
     * Records a request that is served.
     *
     * @param waiting the requests that still wait
     */
    public <T> void served(WaitingTurn<T> turn, Collection<WaitingTurn<T>> waiting) {
        Map<Integer, Set<TeamName>> waitingTeams = waiting.stream()
                .collect(Collectors.groupingBy(
                        WaitingTurn::rank, Collectors.mapping(WaitingTurn::team, Collectors.toSet())));
        waitingTeams.forEach((rank, teams) ->
                ranks.computeIfAbsent(rank, key -> new RankState()).startWaiting(teams));
        ranks.computeIfAbsent(turn.rank(), rank -> new RankState()).serve(turn);
        giveCredit(turn, ranks, waitingTeams.keySet());
        ranks.forEach((rank, state) -> {
            Set<TeamName> teams = waitingTeams.getOrDefault(rank, Set.of());
            if (teams.isEmpty()) {
                state.credit = 0;
            }
            state.finishTimes
                    .entrySet()
                    .removeIf(entry -> entry.getValue() <= state.virtualTime && !teams.contains(entry.getKey()));
        });
    }
}
