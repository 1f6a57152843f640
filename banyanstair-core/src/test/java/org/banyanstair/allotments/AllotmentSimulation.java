package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;

/** Hosts that charge requests and exchange counters with the delays of the product, with faults and without a network. */
final class AllotmentSimulation {
    static final Duration STEP = Duration.ofMillis(10);

    private static final int MAXIMUM_DIRECT_PEERS = 16;

    private static final Duration COMPLETE_INTERVAL = Duration.ofSeconds(3);

    /** Gap after which a host knows that its process did not run. */
    private static final Duration MAXIMUM_GAP = Duration.ofMillis(600);

    private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

    /** Age above which a request that waited in a frozen host is past its deadline. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    final List<Host> hosts = new ArrayList<>();
    private final TeamSettings settings;
    private final Random random;
    private final Duration messageDelay;
    private final Duration reportInterval;
    private final Duration heartbeatInterval;
    private final Duration silenceLimit;
    private final Deque<Message> messages = new ArrayDeque<>();
    private TeamTable table;
    Instant now = Instant.ofEpochSecond(1_000);

    private record Message(Host sender, Host target, List<TeamUsage> reports, Instant arrivesAt) {}

    private record Arrival(Demand demand, double cost, Instant at) {}

    private record Use(Instant at, double cost) {}

    /** Requests of a team and what became of them. */
    static final class Demand {
        final TeamName team;
        final double perSecond;
        final double cost;
        final boolean poisson;
        final String placement;
        final List<Use> uses = new ArrayList<>();
        double due;
        int requests;
        int refused;

        /**
         * Creates a demand.
         *
         * @param placement one, all or moving
         */
        Demand(String team, double perSecond, double cost, boolean poisson, String placement) {
            this.team = new TeamName(team);
            this.perSecond = perSecond;
            this.cost = cost;
            this.poisson = poisson;
            this.placement = placement;
        }

        double usedBetween(Instant start, Instant end) {
            return uses.stream()
                    .filter(use -> !use.at.isBefore(start) && use.at.isBefore(end))
                    .mapToDouble(Use::cost)
                    .sum();
        }

        /** Returns the most that ran in any window that starts at an instant or later. */
        double largestWindow(Duration window, Instant from) {
            double sum = 0;
            double largest = 0;
            Queue<Use> inWindow = new ArrayDeque<>();
            for (Use use : uses) {
                if (use.at.isBefore(from)) {
                    continue;
                }
                inWindow.add(use);
                sum += use.cost;
                while (!inWindow.peek().at.isAfter(use.at.minus(window))) {
                    sum -= inWindow.remove().cost;
                }
                largest = Math.max(largest, sum);
            }
            return largest;
        }
    }

    /** A simulated host. */
    final class Host {
        final HostId id;
        private AllotmentRegistry registry;
        private final Map<Host, Instant> contacts = new HashMap<>();
        private final Queue<Message> inbox = new ArrayDeque<>();
        private final Queue<Arrival> arrivals = new ArrayDeque<>();
        private Instant downUntil = Instant.MIN;
        private Instant frozenUntil = Instant.MIN;
        private Instant startedAt;
        private Instant lastRunAt;
        private Instant nextReportAt = Instant.MIN;
        private Instant nextCompleteAt = Instant.MIN;
        private Instant nextHeartbeatAt = Instant.MIN;
        private int group;

        private Host(int number) {
            id = new HostId("host-" + number);
            start();
        }

        private void start() {
            registry = new AllotmentRegistry(id, settings);
            contacts.clear();
            inbox.clear();
            arrivals.clear();
            startedAt = now;
            lastRunAt = now;
        }

        void kill(Duration time) {
            registry = null;
            downUntil = now.plus(time);
        }

        void freeze(Duration time) {
            frozenUntil = now.plus(time);
        }

        void setGroup(int group) {
            this.group = group;
        }

        boolean isUp() {
            return registry != null;
        }

        private void run() {
            if (registry == null) {
                if (now.isBefore(downUntil)) {
                    return;
                }
                start();
            }
            if (now.isBefore(frozenUntil)) {
                return;
            }
            if (Duration.between(lastRunAt, now).compareTo(MAXIMUM_GAP) > 0) {
                registry.suspended(now);
            }
            lastRunAt = now;
            registry.configure(table, now);
            for (Message message = inbox.poll(); message != null; message = inbox.poll()) {
                contacts.put(message.sender, now);
                registry.heardFrom(message.sender.id);
                registry.applyReport(message.sender.id, message.reports, now);
            }
            registry.reached(reach(), now);
            for (Arrival arrival = arrivals.poll(); arrival != null; arrival = arrivals.poll()) {
                charge(arrival);
            }
            boolean heartbeat = !now.isBefore(nextHeartbeatAt);
            if (!now.isBefore(nextReportAt)) {
                nextReportAt = now.plus(reportInterval);
                boolean complete = !now.isBefore(nextCompleteAt);
                nextCompleteAt = complete ? now.plus(COMPLETE_INTERVAL) : nextCompleteAt;
                List<TeamUsage> reports = registry.report(complete, now);
                if (heartbeat || !reports.isEmpty()) {
                    nextHeartbeatAt = heartbeat ? now.plus(heartbeatInterval) : nextHeartbeatAt;
                    hosts.stream()
                            .filter(host -> host != this)
                            .forEach(host -> messages.add(new Message(this, host, reports, now.plus(messageDelay))));
                }
            }
        }

        private Reach reach() {
            int known = 1;
            int reached = 1;
            Host lowestKnown = this;
            Host lowestReached = this;
            for (Host host : hosts) {
                Instant contact = contacts.getOrDefault(host, startedAt);
                if (host == this || !contact.isAfter(now.minus(FORGET_AFTER))) {
                    continue;
                }
                known++;
                lowestKnown = host.id.compareTo(lowestKnown.id) < 0 ? host : lowestKnown;
                if (contacts.containsKey(host) && contact.isAfter(now.minus(silenceLimit))) {
                    reached++;
                    lowestReached = host.id.compareTo(lowestReached.id) < 0 ? host : lowestReached;
                }
            }
            return new Reach(reached, known, lowestKnown == lowestReached);
        }

        private void charge(Arrival arrival) {
            Demand demand = arrival.demand;
            if (arrival.at.plus(REQUEST_TIMEOUT).isBefore(now)) {
                return;
            }
            demand.requests++;
            if (registry.charge(demand.team, arrival.cost, now).admitted()) {
                demand.uses.add(new Use(now, arrival.cost));
            } else {
                demand.refused++;
            }
        }
    }

    AllotmentSimulation(int count, boolean relayed, TeamSettings settings, long seed, Team... teams) {
        this.settings = settings;
        this.random = new Random(seed);
        this.table = new TeamTable(List.of(teams));
        boolean large = relayed || count > MAXIMUM_DIRECT_PEERS;
        messageDelay = Duration.ofMillis(large ? 200 : 5);
        reportInterval = Duration.ofMillis(large ? 100 : 30 + 4L * (count - 1));
        heartbeatInterval = Duration.ofMillis(large ? 500 : 300 + 7L * (count - 1));
        silenceLimit = heartbeatInterval.multipliedBy(2).plusMillis(100);
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(number));
        }
    }

    void configure(Team... teams) {
        table = new TeamTable(List.of(teams));
    }

    Host join() {
        Host host = new Host(hosts.size());
        hosts.add(host);
        return host;
    }

    void pass(Duration time, Demand... demands) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            while (!messages.isEmpty() && !messages.peek().arrivesAt.isAfter(now)) {
                Message message = messages.remove();
                if (message.target.isUp() && message.sender.group == message.target.group) {
                    message.target.inbox.add(message);
                }
            }
            for (Demand demand : demands) {
                arrive(demand);
            }
            hosts.forEach(Host::run);
        }
    }

    private void arrive(Demand demand) {
        demand.due -= demand.perSecond * STEP.toMillis() / 1000.0 / demand.cost;
        while (demand.due < 0) {
            demand.due += demand.poisson ? -Math.log(1 - random.nextDouble()) : 1;
            List<Host> up = hosts.stream().filter(Host::isUp).toList();
            if (!up.isEmpty()) {
                int index =
                        switch (demand.placement) {
                            case "one" -> 0;
                            case "moving" -> (int) (now.getEpochSecond() / 4 % up.size());
                            default -> random.nextInt(up.size());
                        };
                up.get(index).arrivals.add(new Arrival(demand, demand.cost, now));
            }
        }
    }
}
