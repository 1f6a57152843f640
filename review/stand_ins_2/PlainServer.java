import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of plain requests. It writes to the store about every 1.2 s. */
final class PlainServer {
    static final long BEAT_MS = 1200;

    private final Store store;
    private final String id;
    private final String service;
    private final String zone;
    private final Recorder recorder;
    private final int workMs;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final Map<String, Double> runTimes = new ConcurrentHashMap<>();
    private volatile String state = "ready";
    private volatile boolean down;
    private int beats;

    PlainServer(Store store, String id, String service, String zone, int workMs, Recorder recorder) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        this.recorder = recorder;
        server = new Http.Server(0, this::handle);
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    String address() {
        return server.address();
    }

    private String fields() {
        return "\"upstream\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"batch_slots\":6,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"born\":" + born;
    }

    /** Writes its entry, unless the store has the same one already but for the count. */
    synchronized void beat() {
        if (down) {
            return;
        }
        beats++;
        if (!store.newest("keyed.servers", id).startsWith("{" + fields() + ",")) {
            String entry = "{" + fields() + ",\"sequence\":" + beats + "}";
            store.put("keyed.servers", id, entry);
            recorder.line("store: " + id + " writes " + entry);
        }
    }

    /** Writes its entry about every 1.2 s from now on. */
    void startBeats() {
        Thread thread = new Thread(() -> {
            try {
                while (!down) {
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

    /** Reports that it leaves; its answers say so as well. */
    synchronized void leave() {
        state = "draining";
        beat();
    }

    /** Leaves the store and ends. */
    synchronized void exit() throws IOException {
        down = true;
        store.put("keyed.servers", id, "");
        server.kill();
        recorder.line("server " + id + " has ended");
    }

    /** Returns when it began to run each request, in seconds of the record. */
    Map<String, Double> runTimes() {
        return runTimes;
    }

    private boolean handle(Http.Channel channel, Http.Message request) throws IOException {
        String requestId = request.headers().get("request-id");
        if (!request.headers().getOrDefault("target-instance", id).equals(id)) {
            channel.answer(421, Map.of("Instance-Id", id), new byte[0]);
            return true;
        }
        if (requestId == null) {
            channel.answer(200, Map.of("Instance-Id", id), new byte[0]);
            return true;
        }
        runs.add(requestId);
        runTimes.put(
                requestId,
                recorder.line("server " + id + " of " + service + " runs " + requestId + " " + request.uri()
                        + " tenant " + request.headers().getOrDefault("tenant", "-")));
        try {
            Thread.sleep(workMs);
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
        Map<String, String> headers = state.equals("draining")
                ? Map.of("Request-Id", requestId, "Response-Signature", "s." + id, "Server-Leaving", "1")
                : Map.of("Request-Id", requestId, "Response-Signature", "s." + id);
        channel.answer(200, headers, ("done by " + id).getBytes());
        return true;
    }
}
