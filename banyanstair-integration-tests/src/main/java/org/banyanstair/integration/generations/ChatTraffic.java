package org.banyanstair.integration.generations;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.engine.EngineRun;
import org.banyanstair.testsupport.engine.EngineText;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;

/** Sends chat requests from several threads and compares each answer with the text computed for its adapter. */
public final class ChatTraffic implements AutoCloseable {
    private static final int MAXIMUM_ANSWER_TOKENS = 60;

    private final ChatTrafficPlan plan;
    private final Supplier<List<NetworkAddress>> entryAddresses;
    private final HttpCaller caller;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> wrong = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> failures = new ConcurrentHashMap<>();
    private final Map<String, String> adapterByRequest = new ConcurrentHashMap<>();
    private final Instant end;

    /**
     * Starts one thread per worker.
     *
     * @param entryAddresses returns the caller addresses of the entry hosts to use, at least one
     */
    public ChatTraffic(ChatTrafficPlan plan, Supplier<List<NetworkAddress>> entryAddresses) {
        this.plan = plan;
        this.entryAddresses = entryAddresses;
        this.caller = new HttpCaller(plan.workers(), plan.deadline().plusSeconds(5), Clock.systemUTC());
        this.end = Instant.now().plus(plan.duration());
        for (int worker = 0; worker < plan.workers(); worker++) {
            int number = worker;
            Thread thread = new Thread(() -> sendChats(number), "caller-" + worker);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void sendChats(int worker) {
        Random random = new Random(plan.seed() * 1_000 + worker);
        for (int number = 0; Instant.now().isBefore(end); number++) {
            String adapter = "assistant/adapter-" + random.nextInt(plan.adapters());
            String version = List.of("", "@v1", "@v2").get(random.nextInt(3));
            String prompt = "question " + plan.seed() + "-" + worker + "-" + number;
            List<NetworkAddress> hosts = entryAddresses.get();
            NetworkAddress host = hosts.get(random.nextInt(hosts.size()));
            ChatCall call = new ChatCall(
                    headers(),
                    adapter + version,
                    prompt,
                    1 + random.nextInt(MAXIMUM_ANSWER_TOKENS),
                    random.nextInt(3) > 0);
            checkResult(call, caller.chat(host, call).join());
        }
    }

    private CallerHeaders headers() {
        return new CallerHeaders(
                Cluster.key(Cluster.CALLER),
                Optional.of(Instant.now().plus(plan.deadline())),
                Optional.empty(),
                Optional.empty());
    }

    private void checkResult(ChatCall call, CallerResult result) {
        if (result instanceof CallerResult.Generated generated) {
            answered.incrementAndGet();
            checkAnswer(call, generated);
        } else if (result instanceof CallerResult.NotRun notRun) {
            countFailure("not run: " + notRun.code());
        } else if (result instanceof CallerResult.Unknown unknown) {
            countFailure("unknown: " + unknown.code());
        }
    }

    private void countFailure(String code) {
        failures.computeIfAbsent(code, key -> new AtomicInteger()).incrementAndGet();
    }

    private void checkAnswer(ChatCall call, CallerResult.Generated generated) {
        String model = generated.model();
        boolean modelMatches =
                call.model().contains("@") ? model.equals(call.model()) : model.startsWith(call.model() + "@v");
        String expected =
                String.join("", EngineText.tokens(model, "user: " + call.prompt() + "\n", call.maximumTokens()));
        if (!modelMatches) {
            wrong.add(call.model() + " was answered by " + model);
        } else if (!expected.equals(generated.text())) {
            wrong.add(generated.requestId() + " expected <" + expected + "> but got <" + generated.text() + ">");
        }
        generated.requestId().ifPresent(id -> adapterByRequest.put(id, model));
    }

    /**
     * Waits for the outstanding answers and compares them with the runs that the engines recorded.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public TrafficReport finish(Supplier<List<EngineRun>> runs) throws InterruptedException {
        Duration limit = plan.duration().plus(plan.deadline()).plusSeconds(10);
        for (Thread thread : threads) {
            thread.join(limit.toMillis());
            if (thread.isAlive()) {
                wrong.add(thread.getName() + " has not ended: no answer to its last request");
            }
        }
        runs.get().forEach(this::checkRun);
        Map<String, Integer> counts = new TreeMap<>();
        failures.forEach((code, count) -> counts.put(code, count.get()));
        return new TrafficReport(answered.get(), wrong, counts);
    }

    private void checkRun(EngineRun run) {
        // A host appends a numeric suffix to the request id for each attempt after the first.
        String request = run.requestId().replaceFirst("\\.\\d+$", "");
        String adapter = adapterByRequest.get(request);
        if (adapter != null && !adapter.equals(run.adapter())) {
            wrong.add(request + " was answered by " + adapter + " and ran on " + run.adapter());
        }
    }

    /** Closes the connections of the callers. */
    @Override
    public void close() {
        caller.close();
    }
}
