package org.banyanstair.transport.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;

import org.banyanstair.allotments.AllotmentRegistry;
import org.banyanstair.allotments.Reach;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.AllotmentUnit;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;

/** Measures what the allotments of 16 teams cost a host of 74 that exchange counters every 100 ms. */
final class TeamUsageCostMain {
    private static final int TEAMS = 16;

    private static final int HOSTS = 74;

    private static final int REQUESTS_PER_SECOND = 3;

    private static final int REPORTS_PER_SECOND = 10;

    private static final int WARM_UP_SECONDS = 200;

    private static final int SECONDS = 200;

    private TeamUsageCostMain() {}

    public static void main(String[] arguments) {
        List<Team> teams = new ArrayList<>();
        for (int number = 0; number < TEAMS; number++) {
            Allotment allotment = new Allotment(29_000, 29_000, AllotmentUnit.TOKENS, 200);
            teams.add(new Team(new TeamName("team-" + number), Set.of(), OptionalInt.empty(), Optional.of(allotment)));
        }
        TeamSettings settings = new TeamSettings(false, Duration.ofSeconds(5), Duration.ofSeconds(8), 0.1, 110_000);
        Instant start = Instant.ofEpochSecond(1_000);
        AllotmentRegistry registry = new AllotmentRegistry(new HostId("host-0"), settings);
        registry.configure(new TeamTable(teams), start);
        List<HostId> peers = new ArrayList<>();
        for (int number = 1; number < HOSTS; number++) {
            peers.add(new HostId("host-" + number));
        }
        run(registry, teams, peers, start, WARM_UP_SECONDS);
        long begin = System.nanoTime();
        run(registry, teams, peers, start.plusSeconds(WARM_UP_SECONDS), SECONDS);
        long nanos = System.nanoTime() - begin;
        System.out.printf(
                "%.1f microseconds a second for each team on a host of %d with %d teams, all of them active%n",
                nanos / 1000.0 / SECONDS / TEAMS, HOSTS, TEAMS);
        List<TeamUsage> all = registry.report(true, start.plusSeconds(WARM_UP_SECONDS + SECONDS));
        int without = FrameCodec.encode(new PeerMessage.UseReport(List.of(), false, List.of(), List.of())).length;
        int one = FrameCodec.encode(new PeerMessage.UseReport(List.of(), false, all.subList(0, 1), List.of())).length;
        int many = FrameCodec.encode(new PeerMessage.UseReport(List.of(), false, all, List.of())).length;
        System.out.printf("%d bytes without teams, %d with one, %d with %d%n", without, one, many, TEAMS);
    }

    private static void run(
            AllotmentRegistry registry, List<Team> teams, List<HostId> peers, Instant start, int seconds) {
        long admitted = start.getEpochSecond() * 1_000_000;
        for (int step = 0; step < seconds * REPORTS_PER_SECOND; step++) {
            Instant now = start.plusMillis(step * 1000L / REPORTS_PER_SECOND);
            admitted += 30;
            for (HostId peer : peers) {
                registry.heardFrom(peer);
                List<TeamUsage> reports = new ArrayList<>();
                for (Team team : teams) {
                    reports.add(new TeamUsage(team.name(), admitted, 0, admitted, 9_300, OptionalDouble.of(10_000)));
                }
                registry.applyReport(peer, reports, now);
            }
            registry.reached(new Reach(HOSTS, HOSTS, true), now);
            if (step % REPORTS_PER_SECOND < REQUESTS_PER_SECOND) {
                registry.charge(teams.get(step % TEAMS).name(), 1_100, now);
            }
            registry.report(false, now);
        }
    }
}
