import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A model server with one model and places for eight adapters, which it loads and unloads by order. */
final class ModelServer {
    static final int PLACES = 8;

    private static final long LOAD_MS = 250;

    private static final long BEAT_MS = 1200;

    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":\\s*(\"([^\"]*)\"|-?\\d+)");

    /** An order as it arrived. */
    record Order(double at, String server, String holder, long fence, String op, String adapter, int status) {}

    private final Store store;
    private final String id;
    private final String zone;
    private final Recorder recorder;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> adapters = new LinkedHashMap<>();
    private final List<Order> orders = new ArrayList<>();
    private int sequence;
    private int beats;

    ModelServer(Store store, String id, String zone, Recorder recorder) throws IOException {
        this.store = store;
        this.id = id;
        this.zone = zone;
        this.recorder = recorder;
        server = new Http.Server(0, this::handle);
    }

    private synchronized String adapters(boolean coming, boolean whole) {
        long now = System.currentTimeMillis();
        return adapters.entrySet().stream()
                .filter(entry -> entry.getValue() > now == coming)
                .map(entry -> "\"" + (whole ? "m0/" : "") + entry.getKey() + "@1\"")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private String fields() {
        return "\"upstream\":\"assistant\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"batch_slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + born
                + ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":"
                + adapters(false, false) + "}]";
    }

    private synchronized void beat() {
        beats++;
        String fields = fields();
        if (!store.newest("keyed.servers", id).startsWith("{" + fields + ",")) {
            store.put("keyed.servers", id, "{" + fields + ",\"sequence\":" + beats + "}");
        }
    }

    void startBeats() {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    beat();
                    Thread.sleep(BEAT_MS);
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    private boolean handle(Http.Channel channel, Http.Message request) throws IOException {
        if (!request.headers().getOrDefault("target-instance", id).equals(id)) {
            channel.answer(421, Map.of("Instance-Id", id), new byte[0]);
            return true;
        }
        if (request.uri().equals("/v1/report")) {
            channel.answer(
                    200, Map.of("Content-Type", "application/json"), report().getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (request.uri().equals("/v1/order")) {
            channel.answer(order(new String(request.body(), StandardCharsets.UTF_8)), Map.of(), new byte[0]);
            return true;
        }
        String requestId = request.headers().getOrDefault("request-id", "");
        String adapter = request.headers().getOrDefault("model", "m0/").substring(3);
        synchronized (this) {
            Long readyAt = adapters.get(adapter);
            if (readyAt == null || readyAt > System.currentTimeMillis()) {
                channel.answer(421, Map.of("Instance-Id", id), new byte[0]);
                return true;
            }
        }
        recorder.line("server " + id + " runs " + requestId + " on " + adapter);
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + requestId
                + "\r\nResponse-Signature: s." + id + "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= 4; number++) {
            String event = "id: " + number + "\ndata: " + adapter + "\n\n";
            channel.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            try {
                Thread.sleep(40);
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
        }
        channel.write("0\r\n\r\n");
        return true;
    }

    private synchronized String report() {
        return "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":"
                + adapters(false, false) + "}],\"coming\":" + adapters(true, true) + ",\"busy\":false,\"sequence\":"
                + sequence + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":232000,\"handles\":0,\"born\":"
                + born + "}";
    }

    private synchronized int order(String body) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(body);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(3) == null ? matcher.group(2) : matcher.group(3));
        }
        String adapter = fields.getOrDefault("adapter", "");
        String op = fields.getOrDefault("op", "");
        int status = carryOut(op, adapter, fields.get("precondition"));
        double at = recorder.line("server " + id + ": order " + body + " -> " + status);
        orders.add(new Order(
                at, id, fields.getOrDefault("holder", ""), Long.parseLong(fields.get("fence")), op, adapter, status));
        return status;
    }

    private int carryOut(String op, String adapter, String precondition) {
        if (precondition != null && Integer.parseInt(precondition) != sequence) {
            return 409;
        }
        sequence++;
        if (op.equals("unload")) {
            adapters.remove(adapter);
            return 200;
        }
        if (adapters.containsKey(adapter)) {
            return 200;
        }
        adapters.put(adapter, System.currentTimeMillis() + LOAD_MS);
        return 202;
    }
}
