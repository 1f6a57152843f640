package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against hosts whose own records stay lost after the log was restored from a copy. */
class RestoredHostRecordsTest {
    private final ReducerFixture fixture = new ReducerFixture();

    private static long announcements(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.AppendAnnouncement.class)
                .size();
    }

    private List<ForwardingEffect> restore(Map<String, DecodedRecord> copy) {
        List<ForwardingEffect> effects = new ArrayList<>(fixture.restore(Topic.HOSTS, copy));
        effects.addAll(fixture.pass(Duration.ofSeconds(3)));
        return effects;
    }

    @Test
    void hostAnnouncesItselfOnceMoreIfTheCopyLacksIt() {
        List<ForwardingEffect> effects = fixture.pass(Duration.ofSeconds(1));
        assertEquals(1, announcements(effects));
        assertEquals(1, announcements(restore(Map.of())));
        HostAnnouncement announcement = ReducerFixture.only(effects, ForwardingEffect.AppendAnnouncement.class)
                .get(0)
                .announcement();
        assertEquals(
                0,
                announcements(
                        restore(Map.of(announcement.host().value(), new DecodedRecord.HostAnnounced(announcement)))));
    }

    @Test
    void earlierProcessInTheCopyDoesNotCountAsThisOne() {
        fixture.pass(Duration.ofSeconds(1));
        HostAnnouncement earlier = new HostAnnouncement(
                ReducerFixture.HOST,
                0,
                NetworkAddress.parse("10.0.0.1:80"),
                NetworkAddress.parse("10.0.0.1:81"),
                "east",
                1);
        assertEquals(
                1,
                announcements(restore(Map.of(ReducerFixture.HOST.value(), new DecodedRecord.HostAnnounced(earlier)))));
    }

    @Test
    void crashedRequestIsRecordedAgain() {
        EventContext context = new EventContext();
        Instant now = Instant.ofEpochSecond(100);
        context.begin(now);
        RefusalRegistry refusals = new RefusalRegistry(context);
        for (int number = 0; number < 3; number++) {
            refusals.addCrash(
                    new PeerMessage.CrashReport(
                            5, new EndpointId("i-" + number), 1, List.of(), 1000 * number, List.of()),
                    Optional.of(new HostId("host-2")));
        }
        List<ForwardingEffect.AppendCrashedRequest> first = recorded(refusals, context, now);
        assertEquals(1, first.size());
        refusals.requestRead(first.get(0).request());
        assertEquals(0, recorded(refusals, context, now.plusSeconds(3)).size());
        refusals.logRestored();
        assertEquals(1, recorded(refusals, context, now.plusSeconds(6)).size());
    }

    private static List<ForwardingEffect.AppendCrashedRequest> recorded(
            RefusalRegistry refusals, EventContext context, Instant now) {
        context.begin(now);
        refusals.tick(true);
        return ReducerFixture.only(context.effects(), ForwardingEffect.AppendCrashedRequest.class);
    }
}
