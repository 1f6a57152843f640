import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store in the form of a log, as far as hosts use it: keyed topics with one partition. */
final class Store {
    private static final int MAXIMUM_WAIT_MS = 30_000;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Http.Server server;
    private final Set<Http.Channel> silent = ConcurrentHashMap.newKeySet();
    private final Map<Http.Channel, String> waiting = new ConcurrentHashMap<>();

    Store() throws IOException {
        server = new Http.Server(0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Appends a record of the operator or of a server; an empty value drops the key. Returns its offset. */
    synchronized int put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] entry = new byte[1 + keyBytes.length + valueBytes.length];
        entry[0] = (byte) keyBytes.length;
        System.arraycopy(keyBytes, 0, entry, 1, keyBytes.length);
        System.arraycopy(valueBytes, 0, entry, 1 + keyBytes.length, valueBytes.length);
        return add(topic, entry);
    }

    private int add(String topic, byte[] entry) {
        List<byte[]> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        entries.add(entry);
        notifyAll();
        return entries.size() - 1;
    }

    /** Returns the newest value of a key, empty text if there is none. */
    synchronized String newest(String topic, String key) {
        String value = "";
        for (byte[] entry : topics.getOrDefault(topic, List.of())) {
            if (keyOf(entry).equals(key)) {
                value = valueOf(entry);
            }
        }
        return value;
    }

    /** Lets the open channels on which a read of a topic waits go silent for good; returns how many. */
    int silenceWaiting(String topic) {
        int count = 0;
        for (Map.Entry<Http.Channel, String> entry : waiting.entrySet()) {
            if (entry.getValue().equals(topic)) {
                silent.add(entry.getKey());
                count++;
            }
        }
        return count;
    }

    private static String keyOf(byte[] entry) {
        return new String(entry, 1, entry[0], StandardCharsets.UTF_8);
    }

    private static String valueOf(byte[] entry) {
        return new String(entry, 1 + entry[0], entry.length - 1 - entry[0], StandardCharsets.UTF_8);
    }

    private boolean handle(Http.Channel channel, Http.Message request) throws IOException {
        Map<String, String> query = new HashMap<>();
        String uri = request.uri();
        int mark = uri.indexOf('?');
        if (mark >= 0) {
            for (String part : uri.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        String path = mark < 0 ? uri : uri.substring(0, mark);
        String topic = query.getOrDefault("topic", "");
        int status = 200;
        byte[] body;
        String type = "application/json";
        switch (path) {
            case "/v1/log-newest" -> body = newestPage(topic);
            case "/v1/log-read" -> {
                type = "application/octet-stream";
                body = read(channel, topic, query);
                status = body == null ? 410 : 200;
                body = body == null ? "{\"first\":0}".getBytes(StandardCharsets.UTF_8) : body;
            }
            case "/v1/log-append" -> {
                synchronized (this) {
                    int end = topics.getOrDefault(topic, List.of()).size();
                    String at = query.get("at");
                    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
                        status = 403;
                    } else if (at != null && Integer.parseInt(at) != end) {
                        status = 412;
                    } else {
                        byte[] entry = new byte[request.body().length - 4];
                        System.arraycopy(request.body(), 4, entry, 0, entry.length);
                        add(topic, entry);
                        end++;
                    }
                    body = ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8);
                }
            }
            default -> {
                status = 404;
                body = new byte[0];
            }
        }
        if (silent.contains(channel)) {
            return true;
        }
        channel.answer(status, Map.of("Content-Type", type), body);
        return true;
    }

    private synchronized byte[] newestPage(String topic) {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> entries = topics.getOrDefault(topic, List.of());
        for (int offset = 0; offset < entries.size(); offset++) {
            byte[] entry = entries.get(offset);
            items.remove(keyOf(entry));
            if (!valueOf(entry).isEmpty()) {
                items.put(
                        keyOf(entry),
                        "{\"key\":\"" + keyOf(entry) + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(valueOf(entry).getBytes(StandardCharsets.UTF_8))
                                + "\",\"offset\":" + offset + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"more_pages\":false,\"end\":" + entries.size()
                        + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] read(Http.Channel channel, String topic, Map<String, String> query) throws IOException {
        int from = Integer.parseInt(query.get("from"));
        long wait = Math.min(MAXIMUM_WAIT_MS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        long until = System.currentTimeMillis() + wait;
        List<byte[]> found;
        int end;
        waiting.put(channel, topic);
        synchronized (this) {
            while (topics.getOrDefault(topic, List.of()).size() <= from && System.currentTimeMillis() < until) {
                try {
                    wait(Math.max(1, until - System.currentTimeMillis()));
                } catch (InterruptedException exception) {
                    throw new IOException(exception);
                }
            }
            List<byte[]> entries = topics.getOrDefault(topic, List.of());
            end = entries.size();
            found = from > end ? null : List.copyOf(entries.subList(from, end));
        }
        waiting.remove(channel);
        if (found == null) {
            return null;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        output.writeLong(end);
        output.writeLong(0);
        for (byte[] entry : found) {
            output.writeInt(entry.length);
            output.write(entry);
        }
        return bytes.toByteArray();
    }
}
