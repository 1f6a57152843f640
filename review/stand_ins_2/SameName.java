import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine is gone for good, and a new one comes at another address, with the same name. */
public final class SameName {
    private static final int PER_SECOND = 20;

    private static final double LEASE_S = 3;

    private SameName() {}

    /** Arguments: the repository, a temporary folder, the file of the record, and same, other or none. */
    public static void main(String[] arguments) {
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = run(Path.of(arguments[0]), Path.of(arguments[1]), recorder, arguments[3]);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Path repository, Path folder, Recorder recorder, String replacement) throws Exception {
        Store store = new Store();
        store.put(
                "keyed.op",
                "config",
                "{\"version\":3,\"routes\":[{\"name\":\"r-draft\",\"host\":\"desk.example\",\"path_prefix\":\"/draft/\","
                        + "\"route_type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1000,\"priority\":1,"
                        + "\"upstream\":\"assistant\",\"max_attempts\":1,\"session_affinity\":true,"
                        + "\"can_resume\":false,\"gap_aim_ms\":600}],\"upstreams\":[{\"name\":\"assistant\","
                        + "\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"engine\":{\"batch_slots\":64,\"kv_capacity\":232000,\"kv_token_bytes\":327680,"
                        + "\"models\":[{\"name\":\"m0\",\"weights_mb\":72700.0,\"load_time_s\":2.9,\"adapters\":3000,"
                        + "\"adapter_mb\":66.0}],\"weights_mb\":75000.0,\"adapter_slots\":" + ModelServer.PLACES
                        + ",\"loads_per_s\":2.8}}],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        List<ModelServer> servers = new ArrayList<>();
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        for (int number = 0; number < 6; number++) {
            servers.add(new ModelServer(store, "i-" + number, zones[number % 3], recorder));
        }
        servers.forEach(ModelServer::startBeats);
        List<Host> hosts = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            hosts.add(new Host(
                    repository, folder, "frontend-" + zones[number] + "-1", zones[number], store.address(), ""));
        }
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            host.awaitReady(System.currentTimeMillis() + 20_000);
        }
        Thread.sleep(6000);
        List<Host> used = new ArrayList<>(hosts);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger asked = new AtomicInteger();
        Random random = new Random(7);
        long start = System.currentTimeMillis();
        double goneAt = Double.MAX_VALUE;
        Host gone = null;
        int phase = 0;
        for (int number = 0; System.currentTimeMillis() < start + 18_000; number++) {
            long elapsed = System.currentTimeMillis() - start;
            if (phase == 0 && elapsed > 6000 && !replacement.equals("none")) {
                phase = 1;
                gone = lastGiver(servers, hosts);
                used.remove(gone);
                gone.kill();
                goneAt = recorder.line("machine of " + gone.name() + " is gone for good (process " + gone.pid() + ")");
            } else if (phase == 1 && elapsed > 7000) {
                phase = 2;
                String name = replacement.equals("same") ? gone.name() : gone.name().replace("-1", "-9");
                Host fresh = new Host(
                        repository, folder, name, zones[hosts.indexOf(gone)], store.address(), "bootstrap=false");
                fresh.start();
                recorder.line("a new machine comes: " + name + " at 127.0.0.1:" + fresh.callerPort() + " (process "
                        + fresh.pid() + "); the one before was at 127.0.0.1:" + gone.callerPort());
            }
            Host host = used.get(number % used.size());
            String adapter = "a" + (1 + random.nextInt(60));
            asked.incrementAndGet();
            int each = number;
            new Thread(() -> {
                        String id = UUID.randomUUID().toString().substring(0, 16);
                        recorder.line("consumer sends " + id + " for m0/" + adapter + " to " + host.name());
                        Client.Answer answer = Client.send(
                                host.callerPort(),
                                "POST",
                                "/draft/" + each,
                                List.of(
                                        "Host: desk.example",
                                        "Request-Id: " + id,
                                        "Model: m0/" + adapter,
                                        "Token-Usage: 800,52",
                                        "Prompt-Prefix: " + Integer.toHexString(each + 4096) + ":800",
                                        "Timeout-Ms: 6000"),
                                "{}",
                                7000);
                        recorder.line("consumer gets " + id + ": " + answer.status());
                        served.addAndGet(answer.status() == 200 ? 1 : 0);
                    })
                    .start();
            Thread.sleep(1000 / PER_SECOND);
        }
        Thread.sleep(2000);
        int oneNumber = 0;
        int turns = 0;
        int count = 0;
        for (ModelServer server : servers) {
            Map<Long, ModelServer.Order> lastOfGone = new HashMap<>();
            ModelServer.Order last = null;
            for (ModelServer.Order order : server.orders()) {
                count++;
                boolean ofGone = gone != null && order.holder().equals(gone.name()) && order.at() <= goneAt;
                boolean ofNew = gone != null && order.holder().equals(gone.name()) && order.at() > goneAt;
                if (ofNew && lastOfGone.containsKey(order.fence())) {
                    oneNumber++;
                    recorder.line("ONE: " + server.orders().indexOf(order) + "th order of " + order.server()
                            + " comes from the new machine with epoch number " + order.fence()
                            + ", as orders of the machine that is gone did");
                }
                if (ofNew && last != null && last.at() <= goneAt && last.holder().equals(gone.name())) {
                    boolean within = order.at() - last.at() < LEASE_S;
                    turns += within ? 1 : 0;
                    recorder.line("ONE: " + order.server() + ": first order of the new machine "
                            + Math.round((order.at() - last.at()) * 1000) + " ms after the last of the one before");
                }
                if (ofGone) {
                    lastOfGone.put(order.fence(), order);
                }
                last = order;
            }
        }
        boolean broken = oneNumber > 0 || turns > 0;
        recorder.result(asked.get() + " requests, " + served.get() + " answered with 200, " + count + " orders, "
                + oneNumber + " of a new machine with an epoch number of the machine before it, " + turns
                + " servers whose holders took turns within lease_ms: ONE " + (broken ? "broken" : "held"));
        return count < 50 || served.get() < 50 ? 2 : broken ? 1 : 0;
    }

    /** Returns the host that gave the last order. */
    private static Host lastGiver(List<ModelServer> servers, List<Host> hosts) {
        String holder = servers.stream()
                .flatMap(server -> server.orders().stream())
                .max(Comparator.comparingDouble(ModelServer.Order::at))
                .orElseThrow()
                .holder();
        return hosts.stream().filter(host -> host.name().equals(holder)).findFirst().orElseThrow();
    }
}
