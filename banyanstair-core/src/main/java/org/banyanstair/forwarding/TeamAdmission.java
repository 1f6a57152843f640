package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.banyanstair.allotments.AllotmentRegistry;
import org.banyanstair.allotments.ChargeResult;
import org.banyanstair.allotments.TeamUse;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;

/**
 * Charges each request of a caller to the allotment of its team once, and gives back what did not run.
 *
 * <p>Not thread-safe.
 */
final class TeamAdmission {
    /** Time without a refusal after which a team counts as below its limit again; bounds the volume of log lines. */
    private static final Duration BELOW_LIMIT_AFTER = Duration.ofSeconds(5);

    private static final int HASH_STEP = 0x9E3779B9;

    private final EventContext context;
    private final PlatformView view;
    private final PeerTable peers;
    private final AllotmentRegistry registry;
    private final Map<TeamName, Limited> limited = new TreeMap<>();

    private static final class Limited {
        private Instant lastRefusedAt;
        private long refused;
    }

    TeamAdmission(EventContext context, ForwardingSettings settings, PlatformView view, PeerTable peers) {
        this.context = context;
        this.view = view;
        this.peers = peers;
        this.registry = new AllotmentRegistry(settings.identity().host(), settings.teams());
    }

    /** Charges a request; returns the milliseconds after which its caller may return if it must be refused. */
    OptionalDouble charge(InFlightRequest inFlight) {
        updateTeams();
        Optional<Allotment> allotment = inFlight.team.flatMap(Team::allotment);
        if (allotment.isEmpty()) {
            return OptionalDouble.empty();
        }
        TeamName team = inFlight.team.orElseThrow().name();
        ForwardRequest request = inFlight.request;
        double cost = allotment.get().cost(request.inputTokens(), request.outputTokens());
        if (cost == 0) {
            return OptionalDouble.empty();
        }
        ChargeResult result = registry.charge(team, cost, context.now());
        if (result.admitted()) {
            inFlight.charged = cost;
            inFlight.chargedTeam = Optional.of(team);
            return OptionalDouble.empty();
        }
        recordRefused(team);
        // Each request has a place of its own in the time in which units for all refused ones come back.
        double place = (request.id().hashCode() * HASH_STEP >>> 8) / (double) (1 << 24);
        return OptionalDouble.of(
                result.delay().toMillis() + place * result.spread().toMillis());
    }

    private void recordRefused(TeamName team) {
        Limited state = limited.get(team);
        if (state == null) {
            state = new Limited();
            limited.put(team, state);
            logChange("team-limited", team, 0);
        }
        state.refused++;
        state.lastRefusedAt = context.now();
    }

    private void logChange(String kind, TeamName team, long refused) {
        Optional<TeamUse> use = registry.uses(context.now()).stream()
                .filter(each -> each.team().equals(team))
                .findFirst();
        context.log(DecisionRecord.important(
                kind,
                "team",
                team,
                "per-second",
                use.map(each -> each.allotment().perSecond()).orElse(0.0),
                "left",
                use.map(each -> (long) each.level()).orElse(0L),
                "share",
                use.map(each -> Math.round(each.share() * 1000) / 1000.0).orElse(0.0),
                "refused",
                refused));
    }

    /** Gives back what a request was charged that has not run. */
    void refund(InFlightRequest inFlight) {
        if (inFlight.charged > 0) {
            registry.refund(inFlight.chargedTeam.orElseThrow(), inFlight.charged, context.now());
            inFlight.charged = 0;
        }
    }

    private void updateTeams() {
        view.configuration().ifPresent(configuration -> registry.configure(configuration.teams(), context.now()));
    }

    void tick() {
        updateTeams();
        if (!registry.isEmpty()) {
            registry.reached(peers.reach(context.now()), context.now());
        }
        Iterator<Map.Entry<TeamName, Limited>> entries = limited.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TeamName, Limited> entry = entries.next();
            if (context.now().isAfter(entry.getValue().lastRefusedAt.plus(BELOW_LIMIT_AFTER))) {
                entries.remove();
                logChange("team-below-limit", entry.getKey(), entry.getValue().refused);
            }
        }
    }

    /** Makes what is known of the use by other hosts void after a suspension of the process. */
    void suspended() {
        registry.suspended(context.now());
    }

    void heardFrom(HostId peer) {
        registry.heardFrom(peer);
    }

    /** Returns the counters for the peers; empty in a deployment without limited teams. */
    List<TeamUsage> report(boolean complete) {
        return registry.report(complete, context.now());
    }

    void applyReport(HostId sender, List<TeamUsage> reports) {
        registry.applyReport(sender, reports, context.now());
    }

    List<TeamUse> uses(Instant now) {
        return registry.uses(now);
    }
}
