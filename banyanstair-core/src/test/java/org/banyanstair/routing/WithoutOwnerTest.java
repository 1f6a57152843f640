package org.banyanstair.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Membership;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.ownership.Ownership;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.GenerationRequest;
import org.banyanstair.reducer.ReducerSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against an outage of loaded adapters when a pool owner terminates while the log is unavailable. */
class WithoutOwnerTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final PoolId POOL = new PoolId("assistant");
    private static final AdapterVersion ADAPTER = AdapterVersion.parse("assistant/tender@v1");
    private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);
    private static final HostIdentity SELF = new HostIdentity(new HostId("entry-1"), 1);
    private static final HostIdentity OWNER = new HostIdentity(new HostId("entry-2"), 1);
    private static final Endpoint ENGINE = new Endpoint(
            new EndpointId("runner-1"),
            EndpointKind.ENGINE,
            Presence.LIVE,
            new DataCentre("ub-east"),
            POOL,
            ADDRESS,
            4,
            8,
            false);

    private final Membership membership = new Membership(SELF);
    private final OwnershipState owners = new OwnershipState();
    private final AtomicBoolean logReachable = new AtomicBoolean(true);
    private final GenerationTracker tracker =
            new GenerationTracker(owners, ReducerSettings.DEFAULT, membership, logReachable::get);
    private final Effects effects = new Effects();

    @BeforeEach
    void serveOneRequestWithTheOwner() {
        listHosts(SELF, OWNER);
        owners.updateFromPeer(POOL, new Ownership(OWNER, 0));
        arrive("first");
        tracker.permitGranted(
                OWNER.host(), new PeerMessage.PermitGrant(new RequestId("first"), 1, POOL, 0, 1, ENGINE, 0), effects);
        tracker.attemptEnded(new RequestId("first"), 1, new AttemptOutcome.Completed(), NOW, effects);
        effects.drain();
    }

    private void listHosts(HostIdentity... hosts) {
        List<EntryHost> entries = java.util.Arrays.stream(hosts)
                .map(host ->
                        new EntryHost(host.host(), Presence.LIVE, new DataCentre("ub-east"), ADDRESS, ADDRESS, ADDRESS))
                .toList();
        membership.updateListing(new HostListing(1, entries, List.of(ENGINE)));
    }

    private void arrive(String id) {
        ServiceDeclaration service = new ServiceDeclaration(
                new ServiceId("assistant"),
                ServiceKind.GENERATION,
                POOL,
                Set.of(new CallerId("clerk")),
                List.of(),
                Objective.DEFAULT,
                10,
                10);
        GenerationRequest request = new GenerationRequest(
                new RequestId(id),
                service,
                ADAPTER,
                new CallerId("clerk"),
                PriorityClass.STANDARD,
                NOW.plusSeconds(10),
                0,
                new Fingerprint("f"),
                List.of());
        tracker.requestArrived(request, Configuration.INITIAL, NOW, effects);
    }

    private List<Effect> startsFor(String id) {
        arrive(id);
        return effects.drain().stream()
                .filter(Effect.StartAttempt.class::isInstance)
                .toList();
    }

    @Test
    void adapterThatServedBeforeIsUsedWhenTheOwnerHasEndedAndTheLogIsDown() {
        listHosts(SELF);
        logReachable.set(false);
        assertEquals(List.of(new Effect.StartAttempt(new RequestId("second"), 1, ENGINE, 0)), startsFor("second"));
    }

    @Test
    void unreachableOwnerIsNotReplaced() {
        membership.markUnreachable(OWNER.host(), NOW);
        logReachable.set(false);
        assertEquals(List.of(), startsFor("second"));
    }

    @Test
    void nothingStartsWithoutAnOwnerWhileTheLogIsUp() {
        listHosts(SELF);
        assertEquals(List.of(), startsFor("second"));
    }

    @Test
    void adapterWithAnAnnouncedUnloadIsNotUsed() {
        owners.apply(0, new OwnershipRecord.Claim(POOL, OWNER));
        owners.apply(1, new OwnershipRecord.UnloadAnnouncement(POOL, 0, ENGINE.id(), 7, ADAPTER));
        listHosts(SELF);
        logReachable.set(false);
        assertEquals(List.of(), startsFor("second"));
    }

    @Test
    void attemptStartedWithoutAnOwnerIsReportedToTheNextOne() {
        listHosts(SELF);
        logReachable.set(false);
        startsFor("second");
        tracker.inventoryRequested(SELF.host(), new PeerMessage.InventoryRequest(POOL, 5, 9), effects);
        PeerMessage.InventoryReply reply = effects.drain().stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> ((Effect.SendToPeer) effect).message())
                .map(PeerMessage.InventoryReply.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(
                Optional.of(ENGINE.id()),
                reply.permits().stream().map(permit -> permit.endpoint()).findFirst());
    }
}
