package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.banyanstair.external.Topic;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.HeldAdapter;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.PeerMessage;

/**
 * Manages the runners whose lease this host holds, and tracks the state of the other runners as their lease holders
 * publish it.
 */
final class RunnerManager {
    /** Time after the expected end of a load within which a missing adapter counts as a late load. */
    private static final Duration LATE_LOAD_LIMIT = Duration.ofMillis(200);

    /**
     * Interval at which the state of an unchanged runner is published again, for peers that missed a message or are
     * new.
     */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(3);

    /**
     * Time after its last load request for which a host receives the state of a runner directly; somewhat longer than a
     * load.
     */
    private static final Duration REQUESTER_RETENTION = Duration.ofMillis(600);

    private final EventContext context;
    private final HostIdentity self;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMessenger messenger;
    private final LeaseManager leases;
    private final Map<EndpointId, RunnerController> controllers = new TreeMap<>();
    private final LoadDelayEstimator loadDelayEstimator = new LoadDelayEstimator();
    private final LoadConcurrencyLimit loadLimit = new LoadConcurrencyLimit();
    private final Map<HostIdentity, LoadCounts> peerLoads = new HashMap<>();
    private LoadCounts ownLoads = LoadCounts.NONE;
    private final Map<EndpointId, NewsOrder> newestOrders = new TreeMap<>();
    private final Map<EndpointId, Map<HostId, Instant>> loadRequesters = new HashMap<>();
    private Instant nextRepeatAt = Instant.MIN;

    RunnerManager(
            EventContext context,
            HostIdentity self,
            PlatformView view,
            PeerTable peers,
            PeerMessenger messenger,
            LeaseManager leases) {
        this.context = context;
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.messenger = messenger;
        this.leases = leases;
    }

    void tick(boolean stopping) {
        leases.tick(view.runners(), peers, view.consumer(Topic.CLAIMS), stopping, context.now())
                .ifPresent(context::emit);
        for (EndpointId id : leases.claimedRunners()) {
            Optional<EndpointState> runner = view.endpoint(id);
            Optional<Long> fencingToken = leases.fencingToken(id, context.now());
            if (fencingToken.isEmpty() || stopping || runner.isEmpty()) {
                if (controllers.remove(id) != null) {
                    context.log(DecisionRecord.important("command-suspended", "endpoint", id, "stopping", stopping));
                }
            } else {
                reconcile(runner.get(), fencingToken.get());
            }
        }
        controllers.keySet().removeIf(id -> leases.fencingToken(id, context.now())
                .isEmpty());
        if (!context.now().isBefore(nextRepeatAt)) {
            nextRepeatAt = context.now().plus(REPEAT_INTERVAL);
            controllers.keySet().forEach(id -> messenger.broadcast(stateMessage(id)));
        }
    }

    private void reconcile(EndpointState runner, long fencingToken) {
        if (!runner.acceptsRequests(context.now())) {
            return;
        }
        Optional<EngineCapacity> capacity = view.capacityOf(runner);
        if (capacity.isEmpty()) {
            return;
        }
        RunnerController controller = controllers.get(runner.id());
        if (controller == null) {
            controller = new RunnerController(runner, capacity.get().adapterSlots());
            controllers.put(runner.id(), controller);
            context.log(DecisionRecord.important("command-taken", "endpoint", runner.id(), "fence", fencingToken));
        }
        runner.setLeaseHolder(self.host());
        NewsOrder known = newestOrders.get(runner.id());
        if (known == null || known.fence() != fencingToken || known.incarnation() != self.incarnation()) {
            newestOrders.put(runner.id(), new NewsOrder(fencingToken, self.incarnation(), 0));
        }
        boolean mayLoad = weightStoreUtilization() <= 1;
        context.emit(controller.reconcile(capacity.get(), fencingToken, view::newestVersion, mayLoad, context.now()));
        if (controller.takeChanged()) {
            publish(runner.id(), stateMessage(runner.id()));
        }
    }

    private PeerMessage stateMessage(EndpointId runner) {
        NewsOrder order = newestOrders.computeIfPresent(
                runner, (id, last) -> new NewsOrder(last.fence(), last.incarnation(), last.sequence() + 1));
        return controllers.get(runner).stateMessage(order, context.now());
    }

    /**
     * Publishes the state of a runner to all hosts. In a large deployment the hosts that wait for a load there also
     * receive it directly.
     */
    private void publish(EndpointId runner, PeerMessage state) {
        messenger.broadcast(state);
        Map<HostId, Instant> requesters = loadRequesters.get(runner);
        if (requesters != null) {
            requesters.values().removeIf(until -> !context.now().isBefore(until));
            requesters.keySet().forEach(host -> messenger.send(host, state));
        }
    }

    /** Sends the state of this host's runners to a newly connected peer. */
    void sendRunnerStates(HostId peer) {
        controllers.keySet().forEach(id -> context.emit(new ForwardingEffect.SendToPeer(peer, stateMessage(id))));
    }

    /** Returns the number of adapters in transit to any runner. */
    private int loadsInTransit() {
        int count = 0;
        for (EndpointState runner : view.runners()) {
            for (AdapterSlot slot : runner.adapters().values()) {
                count += slot.isLoading(context.now()) ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Returns the loads in transit, with one more, as a multiple of what the weight store serves without slowing down.
     */
    double weightStoreUtilization() {
        return loadLimit.utilization(loadsInTransit(), view.runners().size(), context.now());
    }

    /** Returns the milliseconds until a load can start on a runner; empty if no host commands it now. */
    OptionalDouble loadDelay(EndpointState runner) {
        RunnerController controller = controllers.get(runner.id());
        boolean commanded = controller != null
                ? controller.isReady()
                : runner.leaseHolder()
                        .filter(host -> !host.equals(self.host()) && peers.isLive(host, context.now()))
                        .isPresent();
        Optional<EngineCapacity> capacity = view.capacityOf(runner);
        if (!commanded || capacity.isEmpty() || capacity.get().adapterSlots() == 0) {
            return OptionalDouble.empty();
        }
        int slots = capacity.get().adapterSlots();
        int missingSlots = 1 - runner.availableSlots(slots, context.now());
        return OptionalDouble.of(missingSlots <= 0 ? 0 : missingSlots * runner.runMilliseconds() / slots);
    }

    /** Requests the load of an adapter; its progress is published as a change of the runner's state. */
    void requestLoad(EndpointState runner, AdapterLoadRequest load) {
        RunnerController controller = controllers.get(runner.id());
        if (controller != null) {
            controller.requestLoad(load);
            leases.fencingToken(runner.id(), context.now()).ifPresent(fencingToken -> reconcile(runner, fencingToken));
        } else {
            long due = Duration.between(context.now(), load.dueAt()).toMillis();
            long remaining = Duration.between(context.now(), load.expiresAt()).toMillis();
            runner.leaseHolder()
                    .ifPresent(host -> messenger.send(
                            host, new PeerMessage.AdapterWanted(runner.id(), load.adapter(), due, remaining)));
        }
    }

    void loadRequested(HostId sender, PeerMessage.AdapterWanted message) {
        RunnerController controller = controllers.get(message.endpoint());
        Optional<EndpointState> runner = view.endpoint(message.endpoint());
        if (controller != null && runner.isPresent()) {
            if (peers.isLargeDeployment()) {
                loadRequesters
                        .computeIfAbsent(message.endpoint(), id -> new HashMap<>())
                        .put(sender, context.now().plus(REQUESTER_RETENTION));
            }
            requestLoad(
                    runner.get(),
                    new AdapterLoadRequest(
                            message.adapter(),
                            context.now().plusMillis(message.dueInMilliseconds()),
                            context.now().plusMillis(message.remainingMilliseconds())));
            if (peers.isLargeDeployment()) {
                messenger.send(sender, stateMessage(message.endpoint()));
            }
        }
    }

    int commandedRunners() {
        return controllers.size();
    }

    void recordUse(EndpointState runner, AdapterName adapter) {
        RunnerController controller = controllers.get(runner.id());
        if (controller != null) {
            controller.recordUse(adapter, context.now());
        }
    }

    /** Handles a request that was rejected because a runner lacks an adapter. */
    void adapterMissing(EndpointState runner, AdapterName adapter) {
        RunnerController controller = controllers.get(runner.id());
        boolean lateLoad = runner.becameReadyWithin(adapter, LATE_LOAD_LIMIT, context.now());
        if (lateLoad) {
            ownLoads = new LoadCounts(ownLoads.onTime(), ownLoads.late() + 1);
            loadLimit.recordLate(view.runners().size(), context.now());
        }
        context.log(DecisionRecord.important(
                "adapter-missing",
                "endpoint",
                runner.id(),
                "adapter",
                adapter,
                "commander",
                controller != null,
                "late-load",
                lateLoad,
                "load-limit",
                loadLimit.get(view.runners().size())));
        if (controller != null) {
            controller.adapterMissing(adapter, context.now());
        } else {
            if (lateLoad) {
                loadDelayEstimator.recordLateLoad(context.now());
            }
            runner.markLoadLate(adapter, context.now());
        }
    }

    /**
     * Handles the first output of a request, which shows that its adapter was loaded by the time it was sent.
     *
     * @param sentAt when the request was sent
     */
    void adapterUsed(EndpointState runner, AdapterName adapter, Instant sentAt) {
        if (runner.becameReadyWithin(adapter, LATE_LOAD_LIMIT, sentAt)) {
            ownLoads = new LoadCounts(ownLoads.onTime() + 1, ownLoads.late());
            loadLimit.recordOnTime(1, view.runners().size(), context.now());
        }
    }

    /** Returns the adapter loads that this host has observed. */
    LoadCounts observedLoads() {
        return ownLoads;
    }

    /** Applies what a peer has observed; the first counts of a peer may be of any age and are only remembered. */
    void applyObservedLoads(HostIdentity peer, LoadCounts counts) {
        LoadCounts earlier = peerLoads.put(peer, counts);
        if (earlier == null) {
            peerLoads.keySet().removeIf(known -> known.host().equals(peer.host()) && !known.equals(peer));
            return;
        }
        LoadCounts added = counts.since(earlier);
        if (added.late() > 0) {
            loadLimit.recordLate(view.runners().size(), context.now());
        } else if (added.onTime() > 0) {
            loadLimit.recordOnTime(added.onTime(), view.runners().size(), context.now());
        }
    }

    void runnerStateReceived(HostId sender, PeerMessage.HeldRunner message) {
        Optional<EndpointState> known = view.endpoint(message.endpoint());
        if (known.isEmpty()
                || controllers.containsKey(message.endpoint())
                || known.get().listing().started() != message.started()) {
            return;
        }
        EndpointState runner = known.get();
        NewsOrder last = newestOrders.get(runner.id());
        if (last != null && last.compareTo(message.order()) >= 0) {
            context.log(DecisionRecord.of(
                    "runner-news-ignored",
                    "endpoint",
                    runner.id(),
                    "sender",
                    sender,
                    "order",
                    message.order(),
                    "newest",
                    last));
            return;
        }
        newestOrders.put(runner.id(), message.order());
        runner.setLeaseHolder(sender);
        Map<AdapterName, AdapterSlot> held = new HashMap<>();
        for (HeldAdapter adapter : message.adapters()) {
            Instant readyAt = adapter.readyInMilliseconds() == 0
                    ? Instant.MIN
                    : context.now()
                            .plusMillis(adapter.readyInMilliseconds())
                            .plus(loadDelayEstimator.margin(context.now()));
            held.put(adapter.name(), new AdapterSlot(adapter.version(), readyAt));
        }
        runner.replaceAdapters(held);
        runner.setBaseModels(message.baseModels());
        runner.setPendingLoads(message.waitingLoads());
    }

    void commandAnswered(AdapterCommand command, CommandResult result) {
        context.log(DecisionRecord.important(
                "command",
                "endpoint",
                command.endpoint(),
                "load",
                command.load(),
                "model",
                command.baseModel(),
                "adapter",
                command.adapter().orElse(""),
                "sequence",
                command.expectedSequence(),
                "fence",
                command.fencingToken(),
                "result",
                result));
        RunnerController controller = controllers.get(command.endpoint());
        if (controller != null) {
            controller.commandAnswered(command, result, view::newestVersion, weightStoreUtilization(), context.now());
            reconcileNow(command.endpoint());
        }
    }

    void inspected(EndpointId id, Optional<RunnerState> state) {
        RunnerController controller = controllers.get(id);
        if (controller != null) {
            controller.inspected(state, context.now());
            context.log(DecisionRecord.important(
                    "runner-inspected",
                    "endpoint",
                    id,
                    "answered",
                    state.isPresent(),
                    "sequence",
                    state.map(RunnerState::commandSequence).orElse(-1L),
                    "loaded",
                    state.map(RunnerState::loaded).orElse(List.of()),
                    "loading",
                    state.map(RunnerState::loading).orElse(List.of())));
            reconcileNow(id);
        }
    }

    private void reconcileNow(EndpointId id) {
        Optional<EndpointState> runner = view.endpoint(id);
        Optional<Long> fencingToken = leases.fencingToken(id, context.now());
        if (runner.isPresent() && fencingToken.isPresent()) {
            reconcile(runner.get(), fencingToken.get());
        }
    }

    void runnerRestarted(EndpointState runner) {
        RunnerController controller = controllers.get(runner.id());
        if (controller != null) {
            controller.reset();
        }
    }

    /** Loads a new adapter version on the runners of this host that hold the adapter. */
    void versionPublished(AdapterName adapter, Duration term) {
        controllers.forEach((id, controller) -> view.endpoint(id)
                .filter(runner -> runner.adapters().containsKey(adapter))
                .ifPresent(runner -> controller.requestLoad(new AdapterLoadRequest(
                        adapter,
                        context.now().plus(term.dividedBy(2)),
                        context.now().plus(term)))));
    }
}
