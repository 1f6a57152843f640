import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** The operator takes the last tenant away. No request may run with its key afterwards, and none without a key. */
public final class LastTenant {
    private static final long REVOKE_MS = 5000;

    private LastTenant() {}

    /** Arguments: the repository, a temporary folder, the file of the record, and "tenant" or "keys" to take away. */
    public static void main(String[] arguments) {
        int code = 2;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            code = run(Path.of(arguments[0]), Path.of(arguments[1]), recorder, arguments[3]);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(code);
    }

    private static String configuration(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-order\",\"host\":\"desk.example\","
                + "\"path_prefix\":\"/order/\",\"route_type\":\"unsafe\",\"timeout_ms\":1000,"
                + "\"target_latency_ms\":193,\"priority\":2,\"upstream\":\"order-desk\",\"max_attempts\":1}],"
                + "\"upstreams\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"tenants\":" + tenants
                + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static int run(Path repository, Path folder, Recorder recorder, String taken) throws Exception {
        Store store = new Store();
        String shop = "[{\"name\":\"shop\",\"api_keys\":[\"key-of-shop\"],\"priority\":1}]";
        store.put("keyed.op", "config", configuration(3, shop));
        recorder.line("operator: version 3, tenants " + shop);
        List<PlainServer> servers = new ArrayList<>();
        String[] zones = {"ub-east", "ub-west", "darkhan"};
        for (int number = 0; number < 3; number++) {
            servers.add(new PlainServer(store, "i-" + number, "order-desk", zones[number], 40, recorder));
        }
        servers.forEach(PlainServer::startBeats);
        List<Host> hosts = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            hosts.add(new Host(
                    repository,
                    folder,
                    "entry-" + number,
                    zones[number],
                    store.address(),
                    "bounds.strict_revoke=true\nbounds.revoke_ms=" + REVOKE_MS));
        }
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            host.awaitReady(System.currentTimeMillis() + 20_000);
        }
        Thread.sleep(3000);
        int servedBefore = 0;
        for (int number = 0; number < 30; number++) {
            servedBefore += send(hosts.get(number % 3), number, "key-of-shop", recorder) == 200 ? 1 : 0;
        }
        int wrongBefore = send(hosts.get(0), 30, "never-a-key", recorder);
        String after = taken.equals("tenant") ? "[]" : "[{\"name\":\"shop\",\"api_keys\":[],\"priority\":1}]";
        store.put("keyed.op", "config", configuration(5, after));
        recorder.line("operator: version 5, tenants " + after + ", acknowledged");
        Thread.sleep(REVOKE_MS + 1000);
        int revoked = 0;
        int unknown = 0;
        int keyless = 0;
        for (int number = 31; number < 61; number++) {
            Host host = hosts.get(number % 3);
            revoked += send(host, number, "key-of-shop", recorder) == 200 ? 1 : 0;
            unknown += send(host, 100 + number, "never-a-key", recorder) == 200 ? 1 : 0;
            keyless += send(host, 200 + number, "", recorder) == 200 ? 1 : 0;
        }
        boolean broken = revoked > 0 || unknown > 0;
        recorder.result("before: " + servedBefore + " of 30 with the key run, an unknown key gets " + wrongBefore
                + "; more than " + REVOKE_MS + " ms after it was taken away, of 30 each: " + revoked
                + " with the revoked key run, " + unknown + " with a key that no configuration held, " + keyless
                + " without a key: CONFIG and ROUTE " + (broken ? "broken" : "held"));
        return servedBefore < 25 || wrongBefore != 401 ? 2 : broken ? 1 : 0;
    }

    private static int send(Host host, int number, String key, Recorder recorder) {
        String id = UUID.randomUUID().toString().substring(0, 16);
        List<String> headers = new ArrayList<>(List.of("Host: desk.example", "Request-Id: " + id, "Timeout-Ms: 1000"));
        if (!key.isEmpty()) {
            headers.add("Credential: " + key);
        }
        recorder.line("consumer sends " + id + " to " + host.name() + ", key " + (key.isEmpty() ? "none" : key));
        Client.Answer answer = Client.send(host.callerPort(), "POST", "/order/" + number, headers, "{}", 2000);
        recorder.line("consumer gets " + id + ": " + answer.status() + " " + answer.body());
        return answer.status();
    }
}
