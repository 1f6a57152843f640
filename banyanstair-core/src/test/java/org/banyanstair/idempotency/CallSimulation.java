package org.banyanstair.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.CallRequest;
import org.banyanstair.reducer.Effect;

/**
 * Simulates hosts, the log, the network, a plain service and the host list with random event orders and faults, and
 * checks what is dispatched and answered.
 */
final class CallSimulation {
    static final int PARTITION = 0;
    private static final int STEPS = 450;
    private static final int HOSTS = 4;
    private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);
    private static final DataCentre DATA_CENTRE = new DataCentre("ub-east");
    private static final PoolId POOL = new PoolId("order-desk");
    private static final List<CallKey> KEYS = IntStream.range(0, 1_000)
            .mapToObj(number -> new CallKey(new CallerId("clerk"), new ServiceId("order-desk"), "order-" + number))
            .filter(key -> key.partition() == PARTITION)
            .limit(3)
            .toList();
    private static final Failure FAILURE = new Failure.LogUnavailable("calls-0");

    /** The kinds of {@link CallAnswer}. */
    enum Kind {
        ANSWERED,
        NOT_RUN,
        UNKNOWN
    }

    private record Order(CallKey key, String digest, HostIdentity host) {}

    private record StoredRecord(Instant at, CallRecord record) {}

    private final Random random;
    private final Map<HostId, SimulatedHost> hosts = new LinkedHashMap<>();
    private final Set<HostId> listed = new HashSet<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final List<StoredRecord> log = new ArrayList<>();
    private final Map<RequestId, Order> orders = new HashMap<>();
    private final Set<RequestId> refused = new HashSet<>();
    private final Set<RequestId> mayHaveRun = new HashSet<>();
    private final Map<CallKey, String> runs = new HashMap<>();
    private final Set<CallKey> dispatchedKeys = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<Kind, Integer> answers = new EnumMap<>(Kind.class);
    private Instant now = Instant.parse("2026-12-04T10:00:00Z");
    private Instant nextTick = now;
    private boolean logUnavailable;
    private final int faultPercent;

    CallSimulation(long seed) {
        random = new Random(seed);
        faultPercent = 1 + random.nextInt(20);
        for (int number = 1; number <= HOSTS; number++) {
            HostId id = new HostId("entry-" + number);
            listed.add(id);
            hosts.put(id, new SimulatedHost(new HostIdentity(id, 1)));
        }
        hosts.values().forEach(this::readListing);
    }

    /** Runs the schedule and returns the violated guarantees. */
    List<String> run() {
        for (int step = 0; step < STEPS && violations.isEmpty(); step++) {
            now = now.plusMillis(random.nextInt(100) == 0 ? 1_500 : random.nextInt(40));
            if (!now.isBefore(nextTick)) {
                nextTick = now.plusMillis(50);
                hosts.values().stream().filter(SimulatedHost::isRunning).forEach(this::tick);
            }
            if (chance(faultPercent)) {
                fault(pick(List.copyOf(hosts.values())));
            } else {
                regularStep();
            }
        }
        return violations;
    }

    Map<Kind, Integer> answers() {
        return answers;
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    private <T> T pick(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }

    private void tick(SimulatedHost host) {
        host.tracker.tick(now, host.effects);
        host.writer.tick(now, host.effects);
        execute(host);
    }

    private void regularStep() {
        SimulatedHost host = pick(List.copyOf(hosts.values()));
        int kind = random.nextInt(10);
        if (kind == 0 && host.isRunning()) {
            order(host);
        } else if (kind < 4) {
            readLog(host);
        } else if (!pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).run();
        }
    }

    private void fault(SimulatedHost host) {
        switch (random.nextInt(8)) {
            case 0 -> host.togglePause();
            case 1 -> restart(host);
            case 2 -> terminate(host);
            case 3 -> changeListing(host);
            case 4 -> host.membership.markUnreachable(pick(List.copyOf(hosts.keySet())), now);
            case 5 -> host.membership.markReachable(pick(List.copyOf(hosts.values())).identity);
            case 6 -> toggleLog();
            default -> readListing(host);
        }
    }

    private void toggleLog() {
        logUnavailable = !logUnavailable && chance(40);
    }

    private void terminate(SimulatedHost host) {
        if (chance(20) && hosts.values().stream().filter(other -> !other.dead).count() > 2) {
            host.dead = true;
        }
    }

    private void restart(SimulatedHost host) {
        host.dead = true;
        SimulatedHost next = new SimulatedHost(SimulatedHost.nextRun(hosts, host.identity.host()));
        hosts.put(next.identity.host(), next);
        listed.add(next.identity.host());
        readListing(next);
    }

    private void changeListing(SimulatedHost host) {
        if (host.isRunning()) {
            listed.add(host.identity.host());
        } else if (chance(50)) {
            listed.remove(host.identity.host());
        }
    }

    private void readListing(SimulatedHost host) {
        List<EntryHost> entries = listed.stream()
                .sorted((one, other) -> one.value().compareTo(other.value()))
                .map(id -> new EntryHost(id, Presence.LIVE, DATA_CENTRE, ADDRESS, ADDRESS, ADDRESS))
                .toList();
        Endpoint desk = new Endpoint(
                new EndpointId("desk-1"),
                EndpointKind.SERVICE,
                Presence.LIVE,
                DATA_CENTRE,
                POOL,
                ADDRESS,
                0,
                100,
                false);
        host.membership.updateListing(new HostListing(1, entries, List.of(desk)));
    }

    private void order(SimulatedHost host) {
        RequestId id = new RequestId("request-" + orders.size());
        String digest = chance(92) ? "first" : "second";
        Order order = new Order(pick(KEYS), digest, host.identity);
        orders.put(id, order);
        Instant deadline = now.plusMillis(500 + random.nextInt(3_000));
        ServiceCall call = new ServiceCall(id, "POST", "/orders", Optional.empty(), new byte[0], deadline);
        host.tracker.callArrived(
                new CallRequest(call, POOL, Optional.of(order.key()), digest), order.key(), now, host.effects);
        execute(host);
    }

    /** Reads a few records at a time, so that the hosts lag behind the log by different amounts. */
    private void readLog(SimulatedHost host) {
        int count = 1 + random.nextInt(6);
        while (host.isRunning() && !logUnavailable && count-- > 0 && host.nextOffset < log.size()) {
            StoredRecord stored = log.get(host.nextOffset);
            host.writer.read(host.nextOffset, stored.at(), stored.record(), now, host.effects);
            host.nextOffset++;
            execute(host);
        }
    }

    /** Delivers an event to a daemon incarnation: later if it is paused, never if it has terminated. */
    private void deliver(SimulatedHost host, Consumer<SimulatedHost> event) {
        if (host.paused && !host.dead) {
            pending.add(() -> deliver(host, event));
        } else if (!host.dead) {
            event.accept(host);
            execute(host);
        }
    }

    private void execute(SimulatedHost host) {
        for (Effect effect : host.effects.drain()) {
            if (effect instanceof Effect.SendToPeer send) {
                pending.add(() -> transmit(host, send.peer(), send.message()));
            } else if (effect instanceof Effect.AppendToLog append) {
                pending.add(() -> append(host, append));
            } else if (effect instanceof Effect.DispatchCall dispatch) {
                pending.add(() -> deliver(host, running -> dispatch(running, dispatch)));
            } else if (effect instanceof Effect.AnswerCall answer) {
                answered(answer.request(), answer.answer());
            }
        }
    }

    private void transmit(SimulatedHost sender, HostId peer, PeerMessage message) {
        if (chance(10)) {
            return;
        }
        if (chance(15)) {
            pending.add(() -> transmit(sender, peer, message));
        }
        SimulatedHost receiver = hosts.get(peer);
        if (chance(50)) {
            sender.membership.markReachable(receiver.identity);
        }
        deliver(receiver, host -> host.receive(sender.identity, message, now));
    }

    private void append(SimulatedHost host, Effect.AppendToLog append) {
        int outcome = random.nextInt(20);
        if (logUnavailable || outcome < 3) {
            deliver(host, running -> running.writer.appendRejected(append.appendId(), FAILURE, running.effects));
            return;
        }
        if (outcome > 5) {
            store(append.entries());
        } else if (outcome > 3) {
            pending.add(() -> store(append.entries()));
        }
        pending.add(() -> deliver(host, running -> running.writer.appendEnded(append.appendId())));
    }

    private void store(List<LogEntry> entries) {
        entries.forEach(entry -> log.add(new StoredRecord(now, (CallRecord) entry)));
    }

    private void dispatch(SimulatedHost host, Effect.DispatchCall dispatch) {
        int outcome = random.nextInt(10);
        ServiceCallResult result = new ServiceCallResult.NotSent(FAILURE);
        if (outcome > 1) {
            ServiceAnswer answer = serve(dispatch.call().requestId());
            result = outcome > 3
                    ? new ServiceCallResult.Answered(answer)
                    : new ServiceCallResult.OutcomeUnknown(new Failure.OutcomeUnknown());
        }
        ServiceCallResult end = result;
        pending.add(() -> deliver(
                host, running -> running.writer.dispatchEnded(dispatch.dispatchId(), end, now, running.effects)));
    }

    private ServiceAnswer serve(RequestId request) {
        Order order = orders.get(request);
        mayHaveRun.add(request);
        if (!dispatchedKeys.add(order.key())) {
            violations.add(order.key().key() + " was dispatched again for " + request);
        }
        if (refused.contains(request)) {
            violations.add(request + " was dispatched after it was answered as not run");
        }
        String text = order.digest() + " run " + request;
        runs.put(order.key(), text);
        return new ServiceAnswer(201, Optional.empty(), text.getBytes(StandardCharsets.UTF_8));
    }

    private void answered(RequestId request, CallAnswer answer) {
        Order order = orders.get(request);
        Kind kind = Kind.UNKNOWN;
        if (answer instanceof CallAnswer.NotRun) {
            kind = Kind.NOT_RUN;
            refused.add(request);
            if (mayHaveRun.contains(request)) {
                violations.add(request + " was answered as not run after it was dispatched");
            }
        } else if (answer instanceof CallAnswer.Answered answered) {
            kind = Kind.ANSWERED;
            String text = new String(answered.answer().body(), StandardCharsets.UTF_8);
            if (!text.equals(runs.get(order.key())) || !text.startsWith(order.digest())) {
                violations.add(request + " was answered with \"" + text + "\"");
            }
        }
        answers.merge(kind, 1, Integer::sum);
    }
}
