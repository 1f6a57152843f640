package org.banyanstair.allotments;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;

/**
 * Decides whether the teams of a deployment have units left, over all hosts.
 *
 * <p>Reads no clock. Not thread-safe.
 */
public final class AllotmentRegistry {
    /** Minimum time after a start or a suspension until this host knows the use by others: the delay of their reports. */
    private static final Duration RESYNC_TIME = Duration.ofMillis(300);

    /**
     * Time after a start or a suspension from which levels of peers are adopted: they have received the counters of this
     * host's group by then, and their reports have arrived.
     */
    private static final Duration ADOPTION_DELAY = Duration.ofMillis(700);

    /** Time after a start or a suspension in which levels of peers are adopted; above the interval of complete reports. */
    private static final Duration ADOPTION_TIME = Duration.ofSeconds(4);

    /** Time for which the use of a team without a limit is remembered, so that its limit cannot be reset. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private final HostId self;
    private final TeamSettings settings;
    private final Map<TeamName, TeamAllotment> teams = new TreeMap<>();
    private final Map<TeamName, TeamAllotment> former = new HashMap<>();
    private final Map<TeamName, Instant> formerSince = new HashMap<>();
    private final Set<HostId> heardSinceResync = new HashSet<>();
    private Optional<TeamTable> table = Optional.empty();
    private Reach reach = Reach.ALONE;
    private Instant resyncSince = Instant.MIN;
    private boolean resyncing = true;
    private boolean isolated;

    /** Creates the registry of one run of a host. */
    public AllotmentRegistry(HostId self, TeamSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Applies the teams of the configuration in force. */
    public void configure(TeamTable newTable, Instant now) {
        if (table.filter(newTable::equals).isPresent()) {
            return;
        }
        boolean first = table.isEmpty();
        table = Optional.of(newTable);
        Map<TeamName, TeamAllotment> next = new TreeMap<>();
        for (Team team : newTable.all()) {
            team.allotment().ifPresent(allotment -> next.put(team.name(), limit(team.name(), allotment, first, now)));
        }
        teams.forEach((name, allotment) -> {
            if (!next.containsKey(name)) {
                former.put(name, allotment);
                formerSince.put(name, now);
            }
        });
        teams.clear();
        teams.putAll(next);
        if (first) {
            startResync(now);
        }
    }

    private TeamAllotment limit(TeamName name, Allotment allotment, boolean first, Instant now) {
        formerSince.remove(name);
        TeamAllotment known = Optional.ofNullable(teams.get(name)).orElse(former.remove(name));
        if (known == null || known.allotment().unit() != allotment.unit()) {
            double phase = ((self.value().hashCode() * 31 + name.hashCode()) * 0x9E3779B9 >>> 16) / 65536.0;
            return new TeamAllotment(name, allotment, settings, !first, phase, now);
        }
        if (!known.allotment().equals(allotment)) {
            known.change(allotment, standing(), now);
        }
        return known;
    }

    /** Returns whether no team has a limit. */
    public boolean isEmpty() {
        return teams.isEmpty();
    }

    /** Records which hosts are reached now. */
    public void reached(Reach newReach, Instant now) {
        reach = newReach;
        if (!reach.isMajority()) {
            isolated = true;
        } else if (isolated) {
            isolated = false;
            startResync(now);
        }
        boolean heardOfMajority = 2 * (heardSinceResync.size() + 1) > reach.known();
        if (resyncing
                && !isolated
                && (heardOfMajority || reach.isMajority() && reach.known() <= 2)
                && table.isPresent()
                && !now.isBefore(resyncSince.plus(RESYNC_TIME))) {
            resyncing = false;
            heardSinceResync.clear();
        }
        teams.values().forEach(team -> team.assumeUse(standing(), now));
        formerSince.values().removeIf(since -> now.isAfter(since.plus(RETENTION)));
        former.keySet().retainAll(formerSince.keySet());
    }

    /** Records a message of a peer. */
    public void heardFrom(HostId peer) {
        if (resyncing) {
            heardSinceResync.add(peer);
        }
    }

    /** Makes what this host knows of the others void, because its process did not run for a time. */
    public void suspended(Instant now) {
        startResync(now);
    }

    private void startResync(Instant now) {
        Standing before = standing();
        teams.values().forEach(team -> team.resync(before, now));
        resyncing = true;
        resyncSince = now;
        heardSinceResync.clear();
    }

    private Standing standing() {
        return new Standing(!resyncing && !isolated, reach.isComplete(), 1.0 / reach.known());
    }

    /** Charges a request to a team; one without a limit is always admitted. */
    public ChargeResult charge(TeamName team, double cost, Instant now) {
        TeamAllotment allotment = teams.get(team);
        return allotment == null ? ChargeResult.ADMITTED : allotment.charge(cost, standing(), now);
    }

    /** Gives back what a request was charged that has not run. */
    public void refund(TeamName team, double cost, Instant now) {
        TeamAllotment allotment = teams.get(team);
        if (allotment != null) {
            allotment.refund(cost, standing(), now);
        }
    }

    /**
     * Returns the counters for the peers.
     *
     * @param complete whether those of teams without a change are included
     */
    public List<TeamUsage> report(boolean complete, Instant now) {
        List<TeamUsage> result = new ArrayList<>();
        for (TeamAllotment allotment : teams.values()) {
            if (complete || allotment.hasChanged()) {
                result.add(allotment.report(standing(), !isYoung(now), now));
            }
        }
        return result;
    }

    private boolean isYoung(Instant now) {
        return resyncing || now.isBefore(resyncSince.plus(ADOPTION_TIME));
    }

    /** Applies the counters of a peer. */
    public void applyReport(HostId sender, List<TeamUsage> reports, Instant now) {
        boolean young = isYoung(now);
        boolean adoptsLevels = young && !isolated && !now.isBefore(resyncSince.plus(ADOPTION_DELAY));
        for (TeamUsage report : reports) {
            TeamAllotment allotment = teams.get(report.team());
            if (allotment != null) {
                allotment.apply(sender, report, !young, adoptsLevels, standing(), now);
            }
        }
    }

    /** Returns what each limited team uses, ordered by name. */
    public List<TeamUse> uses(Instant now) {
        return teams.values().stream().map(team -> team.use(standing(), now)).toList();
    }
}
