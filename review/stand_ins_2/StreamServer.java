import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A server of resumable streams. It writes to the store about every 1.2 s, and its entry changes when more than the
 * count of beats changes. Each event names the software version of the process that wrote it.
 */
final class StreamServer {
    static final long BEAT_MS = 1200;

    private final Store store;
    private final String id;
    private final String service;
    private final String zone;
    private final Recorder recorder;
    private final int events;
    private final int gapMs;
    private final int idStep;
    private final Http.Server server;
    private volatile String version;
    private volatile String state = "ready";
    private volatile long born;
    private volatile boolean down;
    private volatile boolean cutFromStore;
    private volatile int incarnation;
    private int beats;
    private String lastEntry = "";

    StreamServer(
            Store store, String id, String service, String zone, String version, int events, int gapMs, Recorder recorder)
            throws IOException {
        this(store, id, service, zone, version, events, gapMs, 1, recorder);
    }

    /** The ids of events grow by a step, as they do where an event counts the tokens so far. */
    StreamServer(
            Store store,
            String id,
            String service,
            String zone,
            String version,
            int events,
            int gapMs,
            int idStep,
            Recorder recorder)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.events = events;
        this.gapMs = gapMs;
        this.idStep = idStep;
        this.recorder = recorder;
        this.born = System.currentTimeMillis();
        server = new Http.Server(0, this::handle);
    }

    String id() {
        return id;
    }

    String address() {
        return server.address();
    }

    /** Returns the entry that it writes now, without the count of beats. */
    private String fields() {
        return "\"upstream\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"batch_slots\":64,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"born\":" + born;
    }

    /** Returns the whole entry of the next beat. */
    synchronized String nextEntry() {
        beats++;
        return "{" + fields() + ",\"sequence\":" + beats + "}";
    }

    /** Writes its entry, unless the store has the same one already but for the count. */
    synchronized void beat() {
        if (down || cutFromStore) {
            return;
        }
        String entry = nextEntry();
        String known = store.newest("keyed.servers", id);
        if (!known.startsWith("{" + fields() + ",")) {
            int offset = store.put("keyed.servers", id, entry);
            recorder.line("store: entry of " + id + " at offset " + offset + ": " + entry);
        }
        lastEntry = entry;
    }

    synchronized String lastEntry() {
        return lastEntry;
    }

    void setState(String newState) {
        state = newState;
    }

    void setCutFromStore(boolean cut) {
        cutFromStore = cut;
    }

    String version() {
        return version;
    }

    /** Ends as a killed process does. */
    void kill() throws IOException {
        down = true;
        incarnation++;
        server.kill();
        recorder.line("server " + id + " (" + version + ") is down");
    }

    /** Starts again under the same id and address; it knows nothing of before. */
    synchronized void restart(String newVersion) throws IOException {
        version = newVersion;
        born = System.currentTimeMillis();
        state = "ready";
        beats = 0;
        server.restart();
        down = false;
        recorder.line("server " + id + " starts again as " + newVersion + ", born " + born);
    }

    private boolean handle(Http.Channel channel, Http.Message request) throws IOException {
        int run = incarnation;
        String runVersion = version;
        String target = request.headers().getOrDefault("target-instance", id);
        if (!target.equals(id)) {
            channel.answer(421, Map.of("Instance-Id", id), new byte[0]);
            return true;
        }
        String requestId = request.headers().get("request-id");
        if (requestId == null) {
            String report = "{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,"
                    + "\"running\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0,\"born\":" + born + "}";
            channel.answer(
                    200, Map.of("Content-Type", "application/json"), report.getBytes(StandardCharsets.UTF_8));
            return true;
        }
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) / idStep + 1;
        recorder.line("server " + id + " (" + runVersion + ") runs " + requestId + " from event " + first);
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + requestId
                + "\r\nResponse-Signature: s." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = first; number <= events; number++) {
            String event = "id: " + number * idStep + "\ndata: " + runVersion + " " + id + "\n\n";
            channel.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            try {
                Thread.sleep(gapMs);
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
            if (incarnation != run) {
                channel.reset();
                return false;
            }
        }
        channel.write("0\r\n\r\n");
        return true;
    }
}
