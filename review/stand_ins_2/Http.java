import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Plain HTTP/1.1 over sockets, for stand-ins and clients. */
final class Http {
    private Http() {}

    /** A request with its whole body. Names of headers are in lower case. */
    record Message(String method, String uri, Map<String, String> headers, byte[] body) {}

    /** Answers requests; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Channel channel, Message request) throws IOException;
    }

    /** A channel of a caller. */
    static final class Channel {
        private final Socket socket;
        private final InputStream input;
        private final OutputStream output;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream());
            output = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            output.write(bytes.toByteArray());
            output.flush();
        }

        /** Closes the channel with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException exception) {
                // It is closed already.
            }
        }
    }

    /** Listens on a loopback address, with a thread for each channel. */
    static final class Server {
        private final Handler handler;
        private final int port;
        private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket socket;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            this.socket = listen(port == 0 ? Host.freePorts(1)[0] : port);
            this.port = socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private ServerSocket listen(int wanted) throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), wanted), 256);
            Thread thread = new Thread(() -> accept(opened), "accept");
            thread.setDaemon(true);
            thread.start();
            return opened;
        }

        /** Ends as a killed process does: the port is closed and all channels are reset. */
        void kill() throws IOException {
            socket.close();
            channels.forEach(Channel::reset);
        }

        /** Listens again on the same port. */
        void restart() throws IOException {
            socket = listen(port);
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Channel channel = new Channel(from.accept());
                    channels.add(channel);
                    if (from.isClosed()) {
                        channel.reset();
                    }
                    Thread thread = new Thread(() -> serve(channel), "serve");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException exception) {
                    // The port was closed, or the caller has gone.
                }
            }
        }

        private void serve(Channel channel) {
            try (Socket used = channel.socket) {
                Message request = readRequest(channel.input);
                while (request != null && handler.handle(channel, request)) {
                    request = readRequest(channel.input);
                }
            } catch (IOException exception) {
                // The caller has gone.
            } finally {
                channels.remove(channel);
            }
        }
    }

    static Message readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        return new Message(words[0], words[1], headers, readBody(input, headers));
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String line = readLine(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = readLine(input);
        }
        return headers;
    }

    private static byte[] readBody(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(input);
            while (chunk != null && chunk.length > 0) {
                body.write(chunk);
                chunk = readChunk(input);
            }
            return body.toByteArray();
        }
        return input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    /** Returns the next chunk, an empty one at the end, null if the channel ended before. */
    static byte[] readChunk(InputStream input) throws IOException {
        String size = readLine(input);
        if (size == null) {
            return null;
        }
        byte[] chunk = input.readNBytes(Integer.parseInt(size.trim(), 16));
        return readLine(input) == null ? null : chunk;
    }

    /** Returns a line without its end, null at the end of the channel. */
    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return next < 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }
}
