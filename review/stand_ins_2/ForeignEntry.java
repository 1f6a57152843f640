import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves entries with missing fields under the id of a server. They name no server to use. */
public final class ForeignEntry {
    private static final int PER_SECOND = 14;

    private ForeignEntry() {}

    /** Arguments: the repository, a temporary folder, the file of the record, whether there are such entries. */
    public static void main(String[] arguments) {
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = run(Path.of(arguments[0]), Path.of(arguments[1]), recorder, arguments[3].equals("true"));
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static String route(String path, String type, String service) {
        return "{\"name\":\"r-" + service + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + path
                + "\",\"route_type\":\"" + type + "\",\"timeout_ms\":1000,\"target_latency_ms\":193,\"priority\":2,"
                + "\"upstream\":\"" + service + "\",\"max_attempts\":1}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    private static int run(Path repository, Path folder, Recorder recorder, boolean trouble) throws Exception {
        Store store = new Store();
        store.put(
                "keyed.op",
                "config",
                "{\"version\":3,\"routes\":[" + route("/order/", "unsafe", "order-desk") + ","
                        + route("/stock/", "safe", "stock-desk") + "],\"upstreams\":[" + service("order-desk") + ","
                        + service("stock-desk") + "],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        List<PlainServer> servers = new ArrayList<>();
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        for (int number = 0; number < 3; number++) {
            servers.add(new PlainServer(store, "i-order-" + number, "order-desk", zones[number], 43, recorder));
            servers.add(new PlainServer(store, "i-stock-" + number, "stock-desk", zones[number], 43, recorder));
        }
        PlainServer named = servers.get(1);
        servers.stream().filter(server -> server != named).forEach(PlainServer::startBeats);
        named.beat();
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
        AtomicInteger open = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Map<String, String> answers = new ConcurrentHashMap<>();
        Map<String, String> paths = new ConcurrentHashMap<>();
        long start = System.currentTimeMillis();
        int entries = 0;
        int beats = 0;
        for (int number = 0; System.currentTimeMillis() < start + 20_000; number++) {
            if (System.currentTimeMillis() > start + PlainServer.BEAT_MS * beats) {
                beats++;
                named.beat();
                // The server's own entry is back with its next beat.
                if (trouble && beats % 3 == 0 && entries < 5) {
                    entries++;
                    String entry = "{\"upstream\":\"order-desk\",\"address\":\"" + named.address()
                            + "\",\"zone\":\"ub-east\",\"batch_slots\":6,\"state\":\"ready\"}";
                    store.put("keyed.servers", named.id(), entry);
                    recorder.line("store: another writer's entry for " + named.id() + ": " + entry);
                }
            }
            Host host = hosts.get(number % 3);
            String path = (number % 2 == 0 ? "/order/" : "/stock/") + number;
            open.incrementAndGet();
            new Thread(() -> {
                        String id = UUID.randomUUID().toString().substring(0, 16);
                        paths.put(id, path);
                        recorder.line("consumer sends " + id + " " + path + " to " + host.name());
                        Client.Answer answer = Client.send(
                                host.callerPort(),
                                path.startsWith("/order/") ? "POST" : "GET",
                                path,
                                List.of("Host: desk.example", "Request-Id: " + id, "Timeout-Ms: 1000"),
                                path.startsWith("/order/") ? "{}" : "",
                                2000);
                        recorder.line("consumer gets " + id + ": " + answer.status() + " " + answer.body());
                        answers.put(id, answer.status() + " " + answer.body());
                        served.addAndGet(answer.status() == 200 ? 1 : 0);
                        open.decrementAndGet();
                    })
                    .start();
            Thread.sleep(1000 / PER_SECOND);
        }
        for (int wait = 0; wait < 60 && open.get() > 0; wait++) {
            Thread.sleep(50);
        }
        int wrong = 0;
        for (PlainServer server : servers) {
            for (String id : server.runTimes().keySet()) {
                String expected = paths.get(id).startsWith("/order/") ? "order-desk" : "stock-desk";
                if (!server.service().equals(expected)) {
                    wrong++;
                    recorder.line("ROUTE: " + id + " " + paths.get(id) + " is run by " + server.id() + " of "
                            + server.service() + "; the consumer gets " + answers.get(id));
                }
            }
        }
        recorder.result(paths.size() + " requests, " + served.get() + " answered with 200, " + wrong
                + " run by a service to which no configuration lets them go: ROUTE " + (wrong > 0 ? "broken" : "held"));
        return served.get() < 150 ? 2 : wrong > 0 ? 1 : 0;
    }
}
