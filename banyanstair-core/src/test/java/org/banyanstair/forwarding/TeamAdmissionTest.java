package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.banyanstair.allotments.TeamUse;
import org.banyanstair.model.EndpointId;
import org.banyanstair.teams.Allotment;
import org.banyanstair.teams.AllotmentUnit;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that are charged to their team twice, or for nothing. */
class TeamAdmissionTest {
    private static final KeyDigest KEY = KeyDigest.of("key");

    private static final Duration PATIENCE = Duration.ofSeconds(3);

    private static final int BURST = 6;

    private final ReducerFixture fixture = new ReducerFixture();

    @BeforeEach
    void configure() {
        configure(1, team("blue", KEY), team("green"));
        fixture.pass(Duration.ofSeconds(5));
    }

    private static Team team(String name, KeyDigest... keys) {
        Allotment allotment = new Allotment(2, BURST, AllotmentUnit.REQUESTS, 0);
        return new Team(new TeamName(name), Set.of(keys), OptionalInt.empty(), Optional.of(allotment));
    }

    private void configure(long version, Team... teams) {
        fixture.configureTeams(
                version,
                new TeamTable(List.of(teams)),
                ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false));
    }

    private void listEndpoints() {
        fixture.endpoint("i-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.endpoint("i-2", ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    private List<ForwardingEffect> arrive() {
        return fixture.apply(new ForwardingEvent.RequestArrived(fixture.keyedRequest("/look/1", KEY, PATIENCE)));
    }

    private TeamUse use() {
        return fixture.reducer().status(fixture.now()).teams().get(0);
    }

    @Test
    void requestThatIsRefusedAfterTheChargeIsRefunded() {
        assertEquals(
                RefusalReason.NO_ENDPOINT,
                ReducerFixture.only(arrive(), ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
        assertEquals(0, use().used());
        assertEquals(BURST, use().level());
    }

    @Test
    void retryIsNotChargedAgain() {
        listEndpoints();
        ForwardingEffect.Send send =
                ReducerFixture.only(arrive(), ForwardingEffect.Send.class).get(0);
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.AttemptEnded(
                send.exchange(),
                send.attempt(),
                new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, false, Optional.empty())));
        EndpointId second =
                ReducerFixture.only(effects, ForwardingEffect.Send.class).get(0).endpoint();
        assertTrue(!second.equals(send.endpoint()));
        assertEquals(1, use().used());
    }

    /** Guards against a refund that goes to the team that holds the key by then, and was not charged. */
    @Test
    void refundGoesToTheTeamThatWasCharged() {
        listEndpoints();
        List<ForwardingEffect> effects = arrive();
        configure(2, team("blue"), team("green", KEY));
        List<ForwardingEffect.Send> sends = ReducerFixture.only(effects, ForwardingEffect.Send.class);
        while (!sends.isEmpty()) {
            ForwardingEffect.Send send = sends.get(0);
            effects = fixture.apply(new ForwardingEvent.AttemptEnded(
                    send.exchange(),
                    send.attempt(),
                    new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_CONNECTED)));
            sends = ReducerFixture.only(effects, ForwardingEffect.Send.class);
        }
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Refuse.class).size());
        assertEquals(
                List.of(0L, 0L),
                fixture.reducer().status(fixture.now()).teams().stream()
                        .map(TeamUse::used)
                        .toList());
    }

    /** Guards against refused callers that all return at once, and against a log line for each of them. */
    @Test
    void refusedRequestsReturnAtDifferentTimesAndTheChangeIsLoggedOnce() {
        listEndpoints();
        List<ForwardingEffect> effects = new ArrayList<>();
        for (int number = 0; number < 20 + BURST; number++) {
            effects.addAll(arrive());
        }
        List<ForwardingEffect.Refuse> refusals = ReducerFixture.only(effects, ForwardingEffect.Refuse.class);
        assertEquals(20, refusals.size());
        assertTrue(refusals.stream().allMatch(refuse -> refuse.reason() == RefusalReason.ALLOTMENT_EXHAUSTED));
        List<Duration> returns = refusals.stream()
                .map(refuse -> refuse.retryAfter().orElseThrow())
                .toList();
        assertTrue(returns.stream().distinct().count() > 10, "return after " + returns);
        assertTrue(returns.stream().allMatch(after -> after.compareTo(Duration.ofSeconds(20)) <= 0), "" + returns);
        effects.addAll(fixture.pass(Duration.ofSeconds(7)));
        assertEquals(1, count(effects, "team-limited"));
        assertEquals(1, count(effects, "team-below-limit"));
    }

    private static long count(List<ForwardingEffect> effects, String kind) {
        return ReducerFixture.only(effects, ForwardingEffect.Log.class).stream()
                .filter(log -> log.decision().kind().equals(kind))
                .count();
    }
}
