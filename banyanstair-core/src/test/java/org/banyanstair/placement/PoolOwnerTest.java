package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineStatus;
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
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests scheduling decisions of a pool owner that depend on several waiting requests. */
class PoolOwnerTest {
    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final PoolId POOL = new PoolId("assistant");
    private static final HostIdentity SELF = new HostIdentity(new HostId("entry-1"), 7);
    private static final long TERM = 5;
    private static final Duration TAKEOVER =
            ReducerSettings.DEFAULT.hostListLag().plusSeconds(3);

    private final Effects effects = new Effects();
    private final List<Effect> collected = new ArrayList<>();
    private Instant now = START;
    private final Map<EndpointId, Long> incarnations = new HashMap<>();
    private final Map<EndpointId, Integer> failedLoads = new HashMap<>();
    private int failingLoads;
    private boolean refusalsKept;
    private boolean inventoryPaused;
    private PoolOwner owner;

    @BeforeEach
    void createOwner() {
        Membership membership = new Membership(SELF);
        membership.updateListing(new HostListing(1, List.of(self()), List.of(engine(1), engine(2))));
        owner = new PoolOwner(
                POOL,
                TERM,
                new PoolContext(
                        membership,
                        ReducerSettings.DEFAULT,
                        new Sequence(),
                        new OwnershipState(),
                        new CrashSuspects(),
                        () -> Configuration.INITIAL),
                now);
        tick();
        for (int number = 1; number <= 2; number++) {
            owner.raiseFenceEnded(engine(number).id(), new EngineCommandResult.Done(), now, effects);
        }
    }

    private static Endpoint engine(int number) {
        return new Endpoint(
                new EndpointId("engine-" + number),
                EndpointKind.ENGINE,
                Presence.LIVE,
                new DataCentre("ub-east"),
                POOL,
                new NetworkAddress("127.0.0.1", number),
                1,
                8,
                true);
    }

    private static EntryHost self() {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 9);
        return new EntryHost(SELF.host(), Presence.LIVE, new DataCentre("ub-east"), address, address, address);
    }

    private static AdapterVersion adapter(String name) {
        return AdapterVersion.parse("assistant/" + name + "@v1");
    }

    private static PeerMessage.PermitRequest request(String id, String adapter, int... tried) {
        return request(id, adapter, List.of(), tried);
    }

    private static PeerMessage.PermitRequest request(String id, String adapter, List<Long> parts, int... tried) {
        Set<EndpointId> engines = new HashSet<>();
        for (int number : tried) {
            engines.add(new EndpointId("engine-" + number));
        }
        return new PeerMessage.PermitRequest(
                new RequestId(id),
                1 + tried.length,
                POOL,
                adapter(adapter),
                new CallerId("caller"),
                100,
                100,
                PriorityClass.STANDARD,
                START.plus(TAKEOVER).plusSeconds(14),
                0,
                new Fingerprint(id),
                parts,
                engines);
    }

    private void tick() {
        now = now.plusMillis(50);
        owner.tick(now, effects);
        collect();
    }

    private void collect() {
        collected.addAll(effects.drain());
    }

    /** Executes the effects of the owner on engines without faults, and reports their loaded adapters. */
    private void runEngines(Map<EndpointId, Set<AdapterVersion>> loadedAdapters, Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            tick();
            List<Effect> effectsToExecute = List.copyOf(collected);
            collected.removeIf(effect -> !isGrant(effect) && !(refusalsKept && isRefusal(effect)));
            effectsToExecute.forEach(effect -> execute(loadedAdapters, effect));
            collect();
        }
    }

    private void execute(Map<EndpointId, Set<AdapterVersion>> loadedAdapters, Effect effect) {
        if (effect instanceof Effect.LoadAdapter load && failingLoads > 0) {
            failingLoads--;
            failedLoads.merge(load.endpoint().id(), 1, Integer::sum);
            owner.loadEnded(
                    load.endpoint().id(),
                    load.adapter(),
                    new EngineCommandResult.Refused(new Failure.AdapterLoadFailed(load.adapter())),
                    now,
                    effects);
        } else if (effect instanceof Effect.LoadAdapter load) {
            loadedAdapters.get(load.endpoint().id()).add(load.adapter());
            owner.loadEnded(load.endpoint().id(), load.adapter(), new EngineCommandResult.Done(), now, effects);
        } else if (effect instanceof Effect.UnloadAdapter unload) {
            loadedAdapters.get(unload.endpoint().id()).remove(unload.adapter());
            owner.unloadEnded(unload.endpoint().id(), unload.adapter(), new EngineCommandResult.Done(), now, effects);
        } else if (effect instanceof Effect.ReadEngineStatus read) {
            Map<AdapterVersion, Integer> loaded = new HashMap<>();
            loadedAdapters.get(read.endpoint().id()).forEach(adapter -> loaded.put(adapter, 0));
            owner.statusRead(
                    read.endpoint().id(),
                    now,
                    new EngineStatus(incarnations.getOrDefault(read.endpoint().id(), 3L), 1, 8, loaded, 0, TERM),
                    now,
                    effects);
        } else if (effect instanceof Effect.RaiseFence raise) {
            owner.raiseFenceEnded(raise.endpoint().id(), new EngineCommandResult.Done(), now, effects);
        } else if (!inventoryPaused
                && effect instanceof Effect.SendToPeer send
                && send.message() instanceof PeerMessage.InventoryRequest request) {
            owner.inventoryReceived(
                    SELF,
                    new PeerMessage.InventoryReply(POOL, request.term(), request.sequence(), List.of()),
                    now,
                    effects);
        }
    }

    private Endpoint grantedEngine(String id) {
        return collected.stream()
                .filter(PoolOwnerTest::isGrant)
                .map(effect -> (PeerMessage.PermitGrant) ((Effect.SendToPeer) effect).message())
                .filter(grant -> grant.request().value().equals(id))
                .map(PeerMessage.PermitGrant::endpoint)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no grant for " + id + " in " + collected));
    }

    private void release(String id, AttemptOutcome outcome) {
        owner.permitReleased(new PeerMessage.PermitRelease(new RequestId(id), 1, POOL, outcome), now, effects);
        collect();
    }

    /** Requests with the part, no two alike, each of which would otherwise crash several engines. */
    @Test
    void requestsWithPartThatCrashesEnginesAreRefused() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>(Set.of(adapter("a"))));
        loadedAdapters.put(engine(2).id(), new HashSet<>(Set.of(adapter("a"))));
        runEngines(loadedAdapters, TAKEOVER);
        for (int crash = 1; crash <= 3; crash++) {
            owner.permitRequested(SELF, request("deadly-" + crash, "a", List.of(1L, 666L)), now, effects);
            owner.permitRequested(SELF, request("sound-" + crash, "a", List.of(1L)), now, effects);
            collect();
            EndpointId crashed = grantedEngine("deadly-" + crash).id();
            incarnations.merge(crashed, 4L, (before, first) -> before + 1);
            for (String id : List.of("deadly-" + crash, "sound-" + crash)) {
                boolean broken = grantedEngine(id).id().equals(crashed);
                release(
                        id,
                        broken
                                ? new AttemptOutcome.Broken(new Failure.EndpointFailed(crashed), 0)
                                : new AttemptOutcome.Completed());
            }
            runEngines(loadedAdapters, Duration.ofSeconds(2));
            owner.permitRequested(SELF, request("later-" + crash, "a", List.of(1L)), now, effects);
            runEngines(loadedAdapters, Duration.ofMillis(500));
            release("later-" + crash, new AttemptOutcome.Completed());
        }
        runEngines(loadedAdapters, Duration.ofSeconds(2));
        owner.permitRequested(SELF, request("refused", "a", List.of(1L, 666L)), now, effects);
        owner.permitRequested(SELF, request("served", "a", List.of(1L)), now, effects);
        collect();
        assertTrue(granted().contains("served"), "a sound request with the same first part waits");
        assertEquals(List.of(new Failure.RequestCrashesEndpoints(0, false)), refusals());
    }

    private static boolean isRefusal(Effect effect) {
        return effect instanceof Effect.SendToPeer send && send.message() instanceof PeerMessage.PermitRefusal;
    }

    private List<Failure> refusals() {
        return collected.stream()
                .filter(PoolOwnerTest::isRefusal)
                .map(effect -> ((PeerMessage.PermitRefusal) ((Effect.SendToPeer) effect).message()).failure())
                .toList();
    }

    /** Guards against a refusal after four failed loads, two on each engine, although the fifth would have succeeded. */
    @Test
    void requestOutlastsTwoFailedLoadsOnEachEngine() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>());
        loadedAdapters.put(engine(2).id(), new HashSet<>());
        runEngines(loadedAdapters, TAKEOVER);
        failingLoads = 4;
        owner.permitRequested(SELF, request("waits", "a"), now, effects);
        collect();
        runEngines(loadedAdapters, Duration.ofSeconds(8));
        assertEquals(Map.of(engine(1).id(), 2, engine(2).id(), 2), failedLoads);
        assertEquals(List.of("waits"), granted());
    }

    /** Guards against a wait until the deadline for an adapter that no engine can load. */
    @Test
    void requestIsRefusedAfterLoadsFailedRepeatedlyOnEveryEngine() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>());
        loadedAdapters.put(engine(2).id(), new HashSet<>());
        runEngines(loadedAdapters, TAKEOVER);
        failingLoads = 100;
        refusalsKept = true;
        owner.permitRequested(SELF, request("waits", "a"), now, effects);
        collect();
        runEngines(loadedAdapters, Duration.ofSeconds(8));
        assertEquals(List.of(new Failure.AdapterLoadFailed(adapter("a"))), refusals());
        assertEquals(Map.of(engine(1).id(), 3, engine(2).id(), 3), failedLoads);
    }

    private static boolean isGrant(Effect effect) {
        return effect instanceof Effect.SendToPeer send && send.message() instanceof PeerMessage.PermitGrant;
    }

    private List<String> granted() {
        return collected.stream()
                .filter(PoolOwnerTest::isGrant)
                .map(effect -> ((PeerMessage.PermitGrant) ((Effect.SendToPeer) effect).message()).request())
                .map(RequestId::value)
                .sorted()
                .toList();
    }

    /**
     * Guards against a deadlock of two requests: each has failed on the engine that holds its adapter, so each needs
     * the slot of the other's adapter, and both waited until their deadlines although the engines were idle. They
     * arrive during the takeover, when nothing is unloaded, so that both wait before the first scheduling decision.
     */
    @Test
    void requestsThatNeedEachOthersSlotsAreBothGranted() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>(Set.of(adapter("a"))));
        loadedAdapters.put(engine(2).id(), new HashSet<>(Set.of(adapter("b"))));
        runEngines(loadedAdapters, Duration.ofSeconds(2));
        owner.permitRequested(SELF, request("first", "a", 1), now, effects);
        owner.permitRequested(SELF, request("second", "b", 2), now, effects);
        collect();
        runEngines(loadedAdapters, TAKEOVER);
        assertEquals(List.of("first", "second"), granted());
    }

    /**
     * Guards against a late first unload after a paused host has delayed the takeover: requests wait for a slot until
     * then, and some miss their deadline.
     */
    @Test
    void slotsAreFreedSoonAfterTheLastInventory() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>(Set.of(adapter("a"))));
        loadedAdapters.put(engine(2).id(), new HashSet<>(Set.of(adapter("b"))));
        inventoryPaused = true;
        runEngines(loadedAdapters, ReducerSettings.DEFAULT.hostListLag().plusMillis(1600));
        owner.permitRequested(SELF, request("waits", "c"), now, effects);
        collect();
        runEngines(loadedAdapters, Duration.ofMillis(300));
        inventoryPaused = false;
        Duration unloadTime = ReducerSettings.DEFAULT.statusLag().plusMillis(600);
        runEngines(loadedAdapters, unloadTime);
        assertEquals(List.of("waits"), granted());
    }

    /** Guards against the eviction of an adapter that a waiting request can use where it is loaded. */
    @Test
    void adapterThatAWaitingRequestCanUseIsNotUnloaded() {
        Map<EndpointId, Set<AdapterVersion>> loadedAdapters = new HashMap<>();
        loadedAdapters.put(engine(1).id(), new HashSet<>(Set.of(adapter("a"))));
        loadedAdapters.put(engine(2).id(), new HashSet<>(Set.of(adapter("b"))));
        runEngines(loadedAdapters, TAKEOVER);
        owner.permitRequested(SELF, request("runs", "a"), now, effects);
        owner.permitRequested(SELF, request("waits", "c"), now, effects);
        collect();
        runEngines(loadedAdapters, Duration.ofSeconds(2));
        assertTrue(
                loadedAdapters.get(engine(1).id()).contains(adapter("a")),
                "the adapter of a running request was unloaded");
        assertEquals(List.of("runs", "waits"), granted());
    }
}
