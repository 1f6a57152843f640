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
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.PeerMessage;

/** The runners that this host commands, and what the commanders of the others say of them. */
final class RunnerDesk {
    /** Time after its expected end in which a missing adapter means that its load is late. */
    private static final Duration LATE_LIMIT = Duration.ofMillis(200);

    /** Time between two messages on a runner without change, for peers that missed one or are new. */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(3);

    /** Time after its last question in which a host hears of a runner's changes at once; a load and some more. */
    private static final Duration ASKER_TERM = Duration.ofMillis(600);

    private final Turn turn;
    private final HostIdentity self;
    private final PlatformView view;
    private final PeerTable peers;
    private final PeerMail mail;
    private final ClaimKeeper claims;
    private final Map<EndpointId, AdapterCommander> commanders = new TreeMap<>();
    private final LoadLateness lateness = new LoadLateness();
    private final Map<EndpointId, NewsOrder> newest = new TreeMap<>();
    private final Map<EndpointId, Map<HostId, Instant>> askers = new HashMap<>();
    private Instant nextRepeatAt = Instant.MIN;

    RunnerDesk(Turn turn, HostIdentity self, PlatformView view, PeerTable peers, PeerMail mail, ClaimKeeper claims) {
        this.turn = turn;
        this.self = self;
        this.view = view;
        this.peers = peers;
        this.mail = mail;
        this.claims = claims;
    }

    void tick(boolean stopping) {
        claims.tick(view.runners(), peers, view.follower(Topic.CLAIMS), stopping, turn.now())
                .ifPresent(turn::emit);
        for (EndpointId id : claims.own()) {
            Optional<EndpointState> runner = view.endpoint(id);
            Optional<Long> fence = claims.fence(id, turn.now());
            if (fence.isEmpty() || stopping || runner.isEmpty()) {
                if (commanders.remove(id) != null) {
                    turn.log(DecisionRecord.important("command-suspended", "endpoint", id, "stopping", stopping));
                }
            } else {
                step(runner.get(), fence.get());
            }
        }
        commanders.keySet().removeIf(id -> claims.fence(id, turn.now()).isEmpty());
        if (!turn.now().isBefore(nextRepeatAt)) {
            nextRepeatAt = turn.now().plus(REPEAT_INTERVAL);
            commanders.keySet().forEach(id -> mail.sendToAll(message(id)));
        }
    }

    private void step(EndpointState runner, long fence) {
        if (!runner.takesRequests(turn.now())) {
            return;
        }
        Optional<EngineCapacity> capacity = view.capacityOf(runner);
        if (capacity.isEmpty()) {
            return;
        }
        AdapterCommander commander = commanders.get(runner.id());
        if (commander == null) {
            commander = new AdapterCommander(runner, capacity.get().adapterSlots());
            commanders.put(runner.id(), commander);
            turn.log(DecisionRecord.important("command-taken", "endpoint", runner.id(), "fence", fence));
        }
        runner.setCommander(self.host());
        NewsOrder known = newest.get(runner.id());
        if (known == null || known.fence() != fence || known.incarnation() != self.incarnation()) {
            newest.put(runner.id(), new NewsOrder(fence, self.incarnation(), 0));
        }
        boolean mayLoad = loading() < ServiceTimes.loadsInTransit(view.runners().size());
        turn.emit(commander.step(capacity.get(), fence, view::newestVersion, mayLoad, turn.now()));
        if (commander.takeChange()) {
            tell(runner.id(), message(runner.id()));
        }
    }

    private PeerMessage message(EndpointId runner) {
        NewsOrder order = newest.computeIfPresent(
                runner, (id, last) -> new NewsOrder(last.fence(), last.incarnation(), last.sequence() + 1));
        return commanders.get(runner).message(order, turn.now());
    }

    /** Tells all hosts of a runner; those that wait for a load there hear it at once in a large deployment, too. */
    private void tell(EndpointId runner, PeerMessage news) {
        mail.sendToAll(news);
        Map<HostId, Instant> waiting = askers.get(runner);
        if (waiting != null) {
            waiting.values().removeIf(until -> !turn.now().isBefore(until));
            waiting.keySet().forEach(host -> mail.send(host, news));
        }
    }

    /** Sends all that this host knows of its runners to a peer that has just come. */
    void introduce(HostId peer) {
        commanders.keySet().forEach(id -> turn.emit(new ForwardingEffect.SendToPeer(peer, message(id))));
    }

    /** Returns the adapters that are on their way to any runner. */
    private int loading() {
        int count = 0;
        for (EndpointState runner : view.runners()) {
            for (AdapterPlace place : runner.adapters().values()) {
                count += place.isLoading(turn.now()) ? 1 : 0;
            }
        }
        return count;
    }

    /** Returns the loads on their way as a multiple of what the store carries without delay. */
    double loadsWaiting() {
        return (double) (loading() + 1)
                / ServiceTimes.loadsInTransit(view.runners().size());
    }

    /** Returns the milliseconds until a load can start on a runner; empty if nobody commands it now. */
    OptionalDouble loadDelay(EndpointState runner) {
        AdapterCommander own = commanders.get(runner.id());
        boolean commanded = own != null
                ? own.isReady()
                : runner.commander()
                        .filter(host -> !host.equals(self.host()) && peers.isLive(host, turn.now()))
                        .isPresent();
        Optional<EngineCapacity> capacity = view.capacityOf(runner);
        if (!commanded || capacity.isEmpty() || capacity.get().adapterSlots() == 0) {
            return OptionalDouble.empty();
        }
        int slots = capacity.get().adapterSlots();
        int missing = 1 - runner.room(slots, turn.now());
        return OptionalDouble.of(missing <= 0 ? 0 : missing * runner.runMilliseconds() / slots);
    }

    /** Asks for an adapter on a runner; the news of its load comes as a change of the runner's adapters. */
    void want(EndpointState runner, WantedLoad load) {
        AdapterCommander own = commanders.get(runner.id());
        if (own != null) {
            own.want(load);
            claims.fence(runner.id(), turn.now()).ifPresent(fence -> step(runner, fence));
        } else {
            long due = Duration.between(turn.now(), load.dueAt()).toMillis();
            long remaining = Duration.between(turn.now(), load.until()).toMillis();
            runner.commander()
                    .ifPresent(host -> mail.send(
                            host, new PeerMessage.AdapterWanted(runner.id(), load.adapter(), due, remaining)));
        }
    }

    void wanted(HostId sender, PeerMessage.AdapterWanted message) {
        AdapterCommander own = commanders.get(message.endpoint());
        Optional<EndpointState> runner = view.endpoint(message.endpoint());
        if (own != null && runner.isPresent()) {
            if (peers.isLarge()) {
                askers.computeIfAbsent(message.endpoint(), id -> new HashMap<>())
                        .put(sender, turn.now().plus(ASKER_TERM));
            }
            want(
                    runner.get(),
                    new WantedLoad(
                            message.adapter(),
                            turn.now().plusMillis(message.dueInMilliseconds()),
                            turn.now().plusMillis(message.remainingMilliseconds())));
            if (peers.isLarge()) {
                mail.send(sender, message(message.endpoint()));
            }
        }
    }

    int commanded() {
        return commanders.size();
    }

    void countUse(EndpointState runner, AdapterName adapter) {
        AdapterCommander own = commanders.get(runner.id());
        if (own != null) {
            own.countUse(adapter, turn.now());
        }
    }

    /** A request found that a runner lacks an adapter. */
    void missing(EndpointState runner, AdapterName adapter) {
        AdapterCommander own = commanders.get(runner.id());
        turn.log(DecisionRecord.important(
                "adapter-missing", "endpoint", runner.id(), "adapter", adapter, "commander", own != null));
        if (own != null) {
            own.missing(adapter, turn.now());
        } else {
            if (runner.becameReadyWithin(adapter, LATE_LIMIT, turn.now())) {
                lateness.count(turn.now());
            }
            runner.noteLate(adapter, turn.now());
        }
    }

    void heard(HostId sender, PeerMessage.HeldRunner message) {
        Optional<EndpointState> known = view.endpoint(message.endpoint());
        if (known.isEmpty()
                || commanders.containsKey(message.endpoint())
                || known.get().listing().started() != message.started()) {
            return;
        }
        EndpointState runner = known.get();
        NewsOrder last = newest.get(runner.id());
        if (last != null && last.compareTo(message.order()) >= 0) {
            turn.log(DecisionRecord.of(
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
        newest.put(runner.id(), message.order());
        runner.setCommander(sender);
        Map<AdapterName, AdapterPlace> held = new HashMap<>();
        for (HeldAdapter adapter : message.adapters()) {
            Instant readyAt = adapter.readyInMilliseconds() == 0
                    ? Instant.MIN
                    : turn.now().plusMillis(adapter.readyInMilliseconds()).plus(lateness.margin(turn.now()));
            held.put(adapter.name(), new AdapterPlace(adapter.version(), readyAt));
        }
        runner.replaceAdapters(held);
        runner.setBaseModels(message.baseModels());
        runner.setWaitingLoads(message.waitingLoads());
    }

    void answered(AdapterCommand command, CommandResult result) {
        turn.log(DecisionRecord.important(
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
        AdapterCommander own = commanders.get(command.endpoint());
        if (own != null) {
            own.answered(command, result, view::newestVersion, loadsWaiting(), turn.now());
            stepNow(command.endpoint());
        }
    }

    void inspected(EndpointId id, Optional<RunnerState> state) {
        AdapterCommander own = commanders.get(id);
        if (own != null) {
            own.inspected(state, turn.now());
            turn.log(DecisionRecord.important(
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
            stepNow(id);
        }
    }

    private void stepNow(EndpointId id) {
        Optional<EndpointState> runner = view.endpoint(id);
        Optional<Long> fence = claims.fence(id, turn.now());
        if (runner.isPresent() && fence.isPresent()) {
            step(runner.get(), fence.get());
        }
    }

    void restarted(EndpointState runner) {
        AdapterCommander own = commanders.get(runner.id());
        if (own != null) {
            own.reset();
        }
    }

    /** Replaces an adapter that a runner of this host holds and that has been used lately. */
    void versionNamed(AdapterName adapter, Duration term) {
        commanders.forEach((id, commander) -> view.endpoint(id)
                .filter(runner -> runner.adapters().containsKey(adapter))
                .ifPresent(runner -> commander.want(new WantedLoad(
                        adapter, turn.now().plus(term.dividedBy(2)), turn.now().plus(term)))));
    }
}
