import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that is cut off from the store crashes, starts again with another software version and crashes once more.
 * Streams that the new process begins must not go on at the old version.
 */
public final class CutServer {
    private static final int EVENTS = 30;

    private static final int GAP_MS = 120;

    private static final int PER_SECOND = 30;

    private CutServer() {}

    /** Arguments: the repository, a temporary folder, the file of the record, and the disruptions: all, crash or none. */
    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = run(repository, folder, recorder, arguments[3]);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Path repository, Path folder, Recorder recorder, String disruptions)
            throws IOException, InterruptedException {
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
        List<StreamServer> servers = new ArrayList<>();
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        for (int number = 1; number <= 5; number++) {
            servers.add(new StreamServer(
                    store, "i-" + number, "notes", zones[number % 3], number < 5 ? "v1" : "v2", EVENTS, GAP_MS, recorder));
        }
        servers.forEach(StreamServer::beat);
        StreamServer changing = servers.get(0);
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
        Load load = new Load(hosts, recorder);
        load.start(15_000);
        long start = System.currentTimeMillis();
        for (StreamServer server : servers) {
            beatUntil(server, start + 25_000);
        }
        if (disruptions.equals("all")) {
            sleepUntil(start + 4000);
            changing.setCutFromStore(true);
            recorder.line("server i-1 is cut off from the store");
            expire(store, changing, start + 4000 + 3 * StreamServer.BEAT_MS, recorder);
        }
        if (!disruptions.equals("none")) {
            sleepUntil(start + 4200);
            changing.kill();
            sleepUntil(start + 4700);
            changing.restart("v2");
            sleepUntil(start + 8500);
            changing.kill();
            sleepUntil(start + 9000);
            changing.setCutFromStore(false);
            recorder.line("server i-1 reaches the store again");
            changing.restart("v2");
        }
        load.await(30);
        return load.judge();
    }

    private static void beatUntil(StreamServer server, long end) {
        Thread thread = new Thread(() -> {
            try {
                while (System.currentTimeMillis() < end) {
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

    /** The store removes an entry after three intervals of silence. */
    private static void expire(Store store, StreamServer server, long at, Recorder recorder) {
        Thread thread = new Thread(() -> {
            try {
                sleepUntil(at);
                store.put("keyed.servers", server.id(), "");
                recorder.line("store: removes the entry of " + server.id());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void sleepUntil(long time) throws InterruptedException {
        Thread.sleep(Math.max(0, time - System.currentTimeMillis()));
    }

    /** Consumers of streams, each with a channel of its own. */
    private static final class Load {
        private final List<Host> hosts;
        private final Recorder recorder;
        private final List<Client.Answer> answers = new ArrayList<>();
        private final List<String> ids = new ArrayList<>();
        private final AtomicInteger open = new AtomicInteger();
        private CountDownLatch sent;

        Load(List<Host> hosts, Recorder recorder) {
            this.hosts = hosts;
            this.recorder = recorder;
        }

        void start(long forMs) {
            sent = new CountDownLatch(1);
            Thread thread = new Thread(() -> {
                long end = System.currentTimeMillis() + forMs;
                int number = 0;
                try {
                    while (System.currentTimeMillis() < end) {
                        int each = number++;
                        open.incrementAndGet();
                        new Thread(() -> one(each)).start();
                        Thread.sleep(1000 / PER_SECOND);
                    }
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
                sent.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void one(int number) {
            String id = UUID.randomUUID().toString().substring(0, 16);
            Host host = hosts.get(number % hosts.size());
            recorder.line("consumer sends " + id + " to " + host.name());
            Client.Answer answer = Client.send(
                    host.callerPort(),
                    "POST",
                    "/note/" + number,
                    List.of("Host: desk.example", "Request-Id: " + id, "Timeout-Ms: 15000"),
                    "{}",
                    16_000);
            recorder.line("consumer gets " + id + ": " + answer.status() + ", " + answer.events().size() + " events, "
                    + (answer.complete() ? "whole" : "not whole") + ", versions " + versions(answer));
            synchronized (this) {
                answers.add(answer);
                ids.add(id);
            }
            open.decrementAndGet();
        }

        void await(int seconds) throws InterruptedException {
            sent.await();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (open.get() > 0 && System.nanoTime() < end) {
                Thread.sleep(50);
            }
        }

        private static Set<String> versions(Client.Answer answer) {
            Set<String> versions = new LinkedHashSet<>();
            for (String event : answer.events()) {
                int data = event.indexOf("data: ");
                versions.add(event.substring(data + 6).split(" ")[0]);
            }
            return versions;
        }

        /** ORDER: more than two streams hold events of two software versions of one service. */
        synchronized int judge() {
            int mixed = 0;
            int whole = 0;
            for (int index = 0; index < answers.size(); index++) {
                whole += answers.get(index).complete() && answers.get(index).status() == 200 ? 1 : 0;
                if (versions(answers.get(index)).size() > 1) {
                    mixed++;
                    recorder.line("ORDER: " + ids.get(index) + " holds events of " + versions(answers.get(index)));
                }
            }
            boolean broken = mixed > 2;
            recorder.result(answers.size() + " streams, " + whole + " whole, " + mixed
                    + " with events of two software versions (allowed: 2): ORDER "
                    + (broken ? "broken" : "held"));
            return answers.size() < 100 || whole < 50 ? 2 : broken ? 1 : 0;
        }
    }
}
