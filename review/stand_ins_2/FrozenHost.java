import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A host freezes, and a server of another software version comes meanwhile. Consumers take up the streams of the frozen
 * host again at the others.
 */
public final class FrozenHost {
    private static final int EVENTS = 60;

    private static final int GAP_MS = 120;

    private static final int PER_SECOND = 20;

    /** Eight times the longest pause of a stream that is on time (600 ms). */
    private static final int PATIENCE_MS = 4800;

    private static final long FREEZE_MS = 7800;

    private FrozenHost() {}

    /**
     * Arguments: the repository, a temporary folder, the file of the record, and all, freeze (without the new version),
     * kill (the frozen host is killed after 2 s, so that its channels break) or none.
     */
    public static void main(String[] arguments) {
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = new FrozenHost().run(Path.of(arguments[0]), Path.of(arguments[1]), recorder, arguments[3]);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger begunAsked = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger takenUpAsked = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();
    private volatile boolean counting;

    private int run(Path repository, Path folder, Recorder recorder, String disruptions) throws Exception {
        Store store = new Store();
        store.put(
                "keyed.op",
                "config",
                "{\"version\":3,\"routes\":[{\"name\":\"r-note\",\"host\":\"desk.example\",\"path_prefix\":\"/note/\","
                        + "\"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,"
                        + "\"upstream\":\"notes\",\"max_attempts\":3,\"session_affinity\":false,\"can_resume\":true,"
                        + "\"gap_aim_ms\":600}],\"upstreams\":[{\"name\":\"notes\",\"health_path\":\"/healthz\","
                        + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        List<StreamServer> servers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            servers.add(new StreamServer(
                    store, "i-" + number, "notes", zones[number % 3], "v1", EVENTS, GAP_MS, recorder));
        }
        servers.forEach(server -> keepBeating(server));
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
        long start = System.currentTimeMillis();
        int phase = 0;
        for (int number = 0; System.currentTimeMillis() < start + 22_000; number++) {
            long elapsed = System.currentTimeMillis() - start;
            if (phase == 0 && elapsed > 8000) {
                phase = 1;
                if (!disruptions.equals("none")) {
                    hosts.get(0).signal("STOP");
                    recorder.line("entry-0 freezes");
                }
                counting = true;
            } else if (phase == 1 && elapsed > 9000) {
                phase = 2;
                if (!disruptions.equals("freeze")) {
                    StreamServer other = new StreamServer(
                            store, "i-4", "notes", zones[0], "v2", EVENTS, GAP_MS, recorder);
                    keepBeating(other);
                }
            } else if (phase == 2 && elapsed > 10_000 && disruptions.equals("kill")) {
                phase = 3;
                hosts.get(0).kill();
                recorder.line("entry-0 is killed");
            } else if (phase == 2 && elapsed > 8000 + FREEZE_MS) {
                phase = 3;
                if (!disruptions.equals("none")) {
                    hosts.get(0).signal("CONT");
                    recorder.line("entry-0 wakes");
                }
            }
            // Consumers open no new channels to an address that fails them.
            Host host = phase == 0 || disruptions.equals("none")
                    ? hosts.get(number % 3)
                    : hosts.get(1 + number % 2);
            int each = number;
            open.incrementAndGet();
            new Thread(() -> consume(hosts, host, each, recorder)).start();
            Thread.sleep(1000 / PER_SECOND);
        }
        for (int wait = 0; wait < 400 && open.get() > 0; wait++) {
            Thread.sleep(50);
        }
        double shareBegun = (double) begun.get() / Math.max(1, begunAsked.get());
        double shareTakenUp = (double) takenUp.get() / Math.max(1, takenUpAsked.get());
        boolean broken = takenUpAsked.get() >= 12 && shareTakenUp < shareBegun / 2;
        recorder.result(begun.get() + " of " + begunAsked.get() + " new streams begin, " + takenUp.get() + " of "
                + takenUpAsked.get() + " that consumers take up again go on: LOST " + (broken ? "broken" : "held"));
        boolean ran = begunAsked.get() > 100 && (disruptions.equals("none") || takenUpAsked.get() >= 12);
        return !ran ? 2 : broken ? 1 : 0;
    }

    private static void keepBeating(StreamServer server) {
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

    /** One stream: if it breaks off, or nothing comes for the consumer's patience, it is taken up again once. */
    private void consume(List<Host> hosts, Host host, int number, Recorder recorder) {
        String id = UUID.randomUUID().toString().substring(0, 16);
        boolean counted = counting;
        recorder.line("consumer sends " + id + " to " + host.name());
        Client.Answer answer = Client.send(
                host.callerPort(),
                "POST",
                "/note/" + number,
                List.of("Host: desk.example", "Request-Id: " + id, "Timeout-Ms: 15000"),
                "{}",
                PATIENCE_MS);
        recorder.line("consumer gets " + id + ": " + answer.status() + ", " + answer.events().size() + " events, "
                + (answer.complete() ? "whole" : "not whole"));
        if (counted) {
            begunAsked.incrementAndGet();
            begun.addAndGet(answer.events().isEmpty() ? 0 : 1);
        }
        int got = answer.events().size();
        if (got > 0 && got < EVENTS && !answer.complete()) {
            Host next = hosts.get(1 + number % 2);
            String again = UUID.randomUUID().toString().substring(0, 16);
            recorder.line("consumer takes " + id + " up again after event " + got + " with " + again + " at "
                    + next.name());
            Client.Answer more = Client.send(
                    next.callerPort(),
                    "POST",
                    "/note/" + number,
                    List.of(
                            "Host: desk.example",
                            "Request-Id: " + again,
                            "Last-Event-Id: " + got,
                            "Resumes: " + id,
                            "Timeout-Ms: 10000"),
                    "{}",
                    PATIENCE_MS);
            recorder.line("consumer gets " + again + ": " + more.status() + ", " + more.events().size() + " events "
                    + more.body());
            takenUpAsked.incrementAndGet();
            takenUp.addAndGet(more.events().isEmpty() ? 0 : 1);
        }
        open.decrementAndGet();
    }
}
