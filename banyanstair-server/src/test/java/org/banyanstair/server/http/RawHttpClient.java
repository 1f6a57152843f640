package org.banyanstair.server.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP client on a plain socket, for tests that violate the protocol. */
public final class RawHttpClient implements AutoCloseable {
    private final Socket socket = new Socket();

    /** Connects with a small receive buffer, so that a client that stops reading is detected early. */
    public RawHttpClient(int port) throws IOException {
        socket.setReceiveBufferSize(4096);
        socket.setSoTimeout(10_000);
        socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Sends text unmodified. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Sends a request with a body. */
    public void request(String method, String path, String headers, String body) throws IOException {
        send(method + " " + path + " HTTP/1.1\r\nHost: localhost\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
    }

    /** Reads until the text has arrived, and returns everything read; fails at the end of the stream. */
    public String readUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream input = socket.getInputStream();
        while (read.indexOf(text) < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection closed after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /** Reads until the server closes the connection. */
    public String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
