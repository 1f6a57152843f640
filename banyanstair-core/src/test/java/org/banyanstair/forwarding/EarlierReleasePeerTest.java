package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.teams.KeyDigest;
import org.banyanstair.teams.Team;
import org.banyanstair.teams.TeamName;
import org.banyanstair.teams.TeamTable;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against wrong decisions about what a peer of an earlier release, which names no era, says of the log. */
class EarlierReleasePeerTest {
    private static final KeyDigest KEY = KeyDigest.of("key");

    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private final Map<String, DecodedRecord> decoded = new HashMap<>();
    private final ForwardingReducer reducer;
    private Instant now = Instant.ofEpochSecond(100);

    EarlierReleasePeerTest() {
        HostId self = new HostId("host-1");
        ForwardingSettings settings = new ForwardingSettings(
                new HostIdentity(self, 1),
                announcement(self),
                true,
                0.2,
                50,
                Duration.ofSeconds(3),
                Duration.ofSeconds(5),
                KeyFleet.strict(),
                LocalitySettings.DISABLED);
        reducer = new ForwardingReducer(
                settings, (topic, entry, at) -> Optional.ofNullable(decoded.get(entry.key() + entry.position())));
    }

    private static HostAnnouncement announcement(HostId host) {
        return new HostAnnouncement(
                host, 1, NetworkAddress.parse("10.0.0.1:80"), NetworkAddress.parse("10.0.0.1:81"), "east", 1);
    }

    private static DecodedRecord configuration(long version, Set<KeyDigest> keys) {
        Team team = new Team(new TeamName("team-a"), keys, OptionalInt.empty(), Optional.empty());
        return new DecodedRecord.ConfigurationPublished(new ForwardingConfiguration(
                version,
                List.of(ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false)),
                List.of(new ServiceDefinition(ReducerFixture.PLAIN_SERVICE, Optional.empty())),
                RequestLimits.DEFAULT,
                new TeamTable(List.of(team))));
    }

    private List<ForwardingEffect> apply(ForwardingEvent event) {
        return reducer.apply(event, now);
    }

    private List<ForwardingEffect> receive(PeerMessage message) {
        return apply(new ForwardingEvent.PeerMessageReceived(PEER, message));
    }

    private void read(Topic topic, List<TopicRecord> records, long end) {
        apply(new ForwardingEvent.TopicRead(topic, now, true, records, new LogPosition(1, end)));
    }

    private PeerMessage state() {
        return new PeerMessage.HostState(
                announcement(PEER.host()),
                false,
                true,
                0,
                false,
                false,
                6,
                0,
                0,
                0,
                0,
                0,
                LoadCounts.NONE,
                PartEvidence.NONE,
                List.of(),
                List.of());
    }

    private RefusalReason refusal() {
        List<ForwardingEffect> effects = apply(new ForwardingEvent.RequestArrived(new ForwardRequest(
                7,
                new RequestId("request-7"),
                "shop",
                "/look/1",
                Optional.empty(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(KEY),
                7,
                List.of())));
        return ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                .get(0)
                .reason();
    }

    /** The reply's records are dropped for their era, but the reply still confirms the keys. */
    @Test
    void replyWhoseRecordsAreDroppedDoesNotConfirmAKeyThatTheyTakeAway() {
        assertEquals(false, acceptsAfter(0));
    }

    @Test
    void keyIsNotAcceptedWithoutReplies() {
        assertEquals(false, acceptsAfter(-1));
    }

    @Test
    void replyOfTheCurrentEraTakesTheKeyAway() {
        assertEquals(false, acceptsAfter(1));
    }

    /** Returns whether a key that a peer knows to be taken away is accepted after 8 s of its replies of an era. */
    private boolean acceptsAfter(long replyEra) {
        decoded.put("config" + new LogPosition(1, 4), configuration(1, Set.of(KEY)));
        decoded.put("config" + new LogPosition(0, 5), configuration(2, Set.of(KeyDigest.of("another"))));
        decoded.put("config" + new LogPosition(1, 5), configuration(2, Set.of(KeyDigest.of("another"))));
        read(Topic.HOSTS, List.of(), 0);
        read(Topic.CLAIMS, List.of(), 0);
        read(
                Topic.CONFIGURATION,
                List.of(new TopicRecord("config", Optional.of(new byte[] {1}), new LogPosition(1, 4))),
                5);
        receive(state());
        assertEquals(RefusalReason.NO_ENDPOINT, refusal());
        List<ForwardingEffect> effects = new ArrayList<>();
        Instant end = now.plusSeconds(8);
        while (now.isBefore(end)) {
            now = now.plusMillis(100);
            apply(new ForwardingEvent.TopicUnavailable(Topic.CONFIGURATION));
            effects.clear();
            effects.addAll(receive(state()));
            effects.addAll(apply(new ForwardingEvent.Tick()));
            for (ForwardingEffect.SendToPeer sent : ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class)) {
                if (sent.message() instanceof PeerMessage.RecordsRequest request
                        && request.topic() == Topic.CONFIGURATION
                        && replyEra >= 0) {
                    RelayedRecord revocation = new RelayedRecord("config", new byte[] {1}, false, 5);
                    receive(new PeerMessage.RecordsReply(
                            Topic.CONFIGURATION,
                            5,
                            replyEra,
                            List.of(revocation),
                            6,
                            Optional.empty(),
                            Optional.of(request.askedAtMilliseconds()),
                            10,
                            Optional.empty()));
                }
            }
        }
        return refusal() == RefusalReason.NO_ENDPOINT;
    }
}
