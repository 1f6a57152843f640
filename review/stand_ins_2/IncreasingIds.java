import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Sound servers number the events of a stream with increasing ids, not one by one. Hosts get SIGHUP meanwhile. */
public final class IncreasingIds {
    private static final int EVENTS = 13;

    private static final int GAP_MS = 60;

    private static final int PER_SECOND = 20;

    private static final long CONFIG_APPLY_MS = 2000;

    private IncreasingIds() {}

    /** Arguments: the repository, a temporary folder, the file of the record, and the step between two ids. */
    public static void main(String[] arguments) {
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = run(Path.of(arguments[0]), Path.of(arguments[1]), recorder, Integer.parseInt(arguments[3]));
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Path repository, Path folder, Recorder recorder, int step) throws Exception {
        Store store = new Store();
        store.put(
                "keyed.op",
                "config",
                "{\"version\":3,\"routes\":[{\"name\":\"r-note\",\"host\":\"desk.example\",\"path_prefix\":\"/note/\","
                        + "\"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,"
                        + "\"upstream\":\"notes\",\"max_attempts\":1,\"session_affinity\":false,\"can_resume\":false,"
                        + "\"gap_aim_ms\":600}],\"upstreams\":[{\"name\":\"notes\",\"health_path\":\"/healthz\","
                        + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        for (int number = 1; number <= 4; number++) {
            StreamServer server = new StreamServer(
                    store, "i-" + number, "notes", zones[number % 3], "v1", EVENTS, GAP_MS, step, recorder);
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        server.beat();
                        Thread.sleep(StreamServer.BEAT_MS);
                    }
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        List<Host> hosts = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            hosts.add(new Host(repository, folder, "entry-" + number, zones[number], store.address(), ""));
        }
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            host.awaitReady(System.currentTimeMillis() + 20_000);
        }
        Thread.sleep(3000);
        Map<Host, Long> hupAt = new ConcurrentHashMap<>();
        AtomicInteger open = new AtomicInteger();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        long start = System.currentTimeMillis();
        int signals = 0;
        for (int number = 0; System.currentTimeMillis() < start + 8000; number++) {
            // Planned: two of three hosts get SIGHUP, 2 s apart.
            if (signals < 2 && System.currentTimeMillis() > start + 2000 + 2000 * signals) {
                Host signalled = hosts.get(signals);
                signalled.signal("HUP");
                hupAt.put(signalled, System.currentTimeMillis());
                recorder.line(signalled.name() + " gets SIGHUP");
                signals++;
            }
            Host host = hosts.get(number % 3);
            int each = number;
            open.incrementAndGet();
            asked.incrementAndGet();
            new Thread(() -> {
                        String id = UUID.randomUUID().toString().substring(0, 16);
                        long sentAt = System.currentTimeMillis();
                        recorder.line("consumer sends " + id + " to " + host.name());
                        Client.Answer answer = Client.send(
                                host.callerPort(),
                                "POST",
                                "/note/" + each,
                                List.of("Host: desk.example", "Request-Id: " + id, "Timeout-Ms: 15000"),
                                "{}",
                                16_000);
                        boolean complete = answer.complete() && answer.status() == 200;
                        recorder.line("consumer gets " + id + ": " + answer.status() + ", " + answer.events().size()
                                + " of " + EVENTS + " events, "
                                + (complete ? "whole" : "the channel ends before the answer does"));
                        whole.addAndGet(complete ? 1 : 0);
                        Long hup = hupAt.get(host);
                        boolean around = hup != null && sentAt >= hup && sentAt <= hup + CONFIG_APPLY_MS;
                        if (around && answer.status() == 200 && !answer.complete()) {
                            lost.incrementAndGet();
                            recorder.line("LOST: " + id + ", sent " + (sentAt - hup) + " ms after the SIGHUP of "
                                    + host.name());
                        }
                        open.decrementAndGet();
                    })
                    .start();
            Thread.sleep(1000 / PER_SECOND);
        }
        for (int wait = 0; wait < 400 && open.get() > 0; wait++) {
            Thread.sleep(50);
        }
        recorder.result(asked.get() + " streams, " + whole.get() + " whole; " + lost.get()
                + " sent within 2 s of a SIGHUP of their host and cut after it: LOST "
                + (lost.get() > 0 ? "broken" : "held"));
        return asked.get() < 100 ? 2 : lost.get() > 0 ? 1 : 0;
    }
}
