import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A consumer's attempt on a channel of its own. */
final class Client {
    /** What a consumer has got. Status 0 means that the channel ended without a head. */
    record Answer(int status, Map<String, String> headers, List<String> events, String body, boolean complete) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private Client() {}

    static int get(int port, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            String line = Http.readLine(new BufferedInputStream(socket.getInputStream()));
            return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Sends a request and reads its answer to the end. Headers are lines without their ends. */
    static Answer send(int port, String method, String path, List<String> headers, String body, int timeoutMs) {
        int status = 0;
        Map<String, String> received = Map.of();
        List<String> events = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        boolean complete = false;
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach(line -> request.append(line).append("\r\n"));
            if (method.equals("POST")) {
                request.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            request.append("\r\n").append(body);
            socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String line = Http.readLine(input);
            if (line != null) {
                status = Integer.parseInt(line.split(" ")[1]);
                received = Http.readHeaders(input);
                if (received.getOrDefault("transfer-encoding", "").equals("chunked")) {
                    byte[] chunk = Http.readChunk(input);
                    while (chunk != null && chunk.length > 0) {
                        text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                        int end = text.indexOf("\n\n");
                        while (end >= 0) {
                            events.add(text.substring(0, end));
                            text.delete(0, end + 2);
                            end = text.indexOf("\n\n");
                        }
                        chunk = Http.readChunk(input);
                    }
                    complete = chunk != null;
                } else {
                    int length = Integer.parseInt(received.getOrDefault("content-length", "0"));
                    byte[] bytes = input.readNBytes(length);
                    text.append(new String(bytes, StandardCharsets.ISO_8859_1));
                    complete = bytes.length == length;
                }
            }
        } catch (IOException exception) {
            // The answer ends here.
        }
        return new Answer(status, received, events, text.toString(), complete);
    }
}
