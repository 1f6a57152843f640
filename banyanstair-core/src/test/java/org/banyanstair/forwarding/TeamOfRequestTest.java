package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstair.external.Topic;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against attempts and log lines that name another team than the one that holds the key. */
class TeamOfRequestTest {
    private static final KeyDigest KEY = KeyDigest.of("key");

    private static final Route ROUTE =
            ReducerFixture.route("/stream/", ReducerFixture.PLAIN_SERVICE, true, false, true);

    private final ReducerFixture fixture = new ReducerFixture();
    private ForwardRequest request;

    private static Team team(String name, KeyDigest... keys) {
        return new Team(new TeamName(name), Set.of(keys), OptionalInt.empty(), Optional.empty());
    }

    @BeforeEach
    void begin() {
        fixture.configureTeams(1, new TeamTable(List.of(team("a", KEY), team("b"))), ROUTE);
        fixture.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
        request = keyed(KEY);
    }

    private ForwardRequest keyed(KeyDigest key) {
        return fixture.keyedRequest("/stream/1", key, Duration.ofSeconds(5));
    }

    private static Optional<String> teamSent(List<ForwardingEffect> effects) {
        ForwardingEffect.Send send =
                ReducerFixture.only(effects, ForwardingEffect.Send.class).get(0);
        return send.team().map(TeamName::value);
    }

    private static Map<String, Object> line(List<ForwardingEffect> effects, String kind) {
        return ReducerFixture.only(effects, ForwardingEffect.Log.class).stream()
                .map(ForwardingEffect.Log::decision)
                .filter(decision -> decision.kind().equals(kind))
                .collect(Collectors.toList())
                .get(0)
                .fields();
    }

    private List<ForwardingEffect> arrive() {
        return fixture.apply(new ForwardingEvent.RequestArrived(request));
    }

    private List<ForwardingEffect> breakOff() {
        return fixture.apply(new ForwardingEvent.AttemptEnded(
                request.exchange(),
                1,
                new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, true, Optional.of(3L))));
    }

    @Test
    void resumedStreamCarriesTheTeamThatHoldsTheKeyNow() {
        assertEquals(Optional.of("a"), teamSent(arrive()));
        List<ForwardingEffect> changed =
                fixture.configureTeams(2, new TeamTable(List.of(team("a"), team("b", KEY))), ROUTE);
        assertEquals(1, line(changed, "keys-changed").get("moved"));
        List<ForwardingEffect> resumed = breakOff();
        assertEquals(Optional.of("b"), teamSent(resumed));
        assertEquals(new TeamName("b"), line(resumed, "sent").get("team"));
    }

    @Test
    void resumedStreamKeepsItsTeamWhenTheKeyIsGone() {
        arrive();
        List<ForwardingEffect> changed =
                fixture.configureTeams(2, new TeamTable(List.of(team("a"), team("b", KeyDigest.of("new")))), ROUTE);
        assertEquals(1, line(changed, "keys-changed").get("added"));
        assertEquals(1, line(changed, "keys-changed").get("removed"));
        assertEquals(Optional.of("a"), teamSent(breakOff()));
        request = keyed(KEY);
        assertEquals("UNKNOWN_KEY", line(arrive(), "refused").get("reason").toString());
    }

    @Test
    void linesOfARequestNameItsTeam() {
        assertEquals(new TeamName("a"), line(arrive(), "sent").get("team"));
        List<ForwardingEffect> answered = fixture.apply(new ForwardingEvent.AttemptEnded(
                request.exchange(), 1, new AttemptResult.Answered(200, Duration.ZERO)));
        assertEquals(new TeamName("a"), line(answered, "answered").get("team"));
        fixture.removed(Topic.ENDPOINTS, "desk-1");
        fixture.removed(Topic.ENDPOINTS, "desk-2");
        request = keyed(KEY);
        assertEquals(new TeamName("a"), line(arrive(), "refused").get("team"));
    }

    /** Lines of a deployment without teams stay as they are. */
    @Test
    void linesWithoutATeamHaveNoSuchField() {
        fixture.configure(2, ROUTE);
        assertFalse(line(arrive(), "sent").containsKey("team"));
        assertTrue(teamSent(fixture.apply(new ForwardingEvent.RequestArrived(keyed(KEY))))
                .isEmpty());
    }
}
