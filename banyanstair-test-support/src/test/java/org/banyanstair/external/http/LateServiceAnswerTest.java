package org.banyanstair.external.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.RequestId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a late second copy of a service's answer that the next caller gets as its own. */
class LateServiceAnswerTest {
    private static final String FIRST_ANSWER = answer("first");

    private final HttpPlainServiceClient client = new HttpPlainServiceClient(Duration.ofSeconds(1), 1 << 16);
    private ServerSocket server;
    private volatile boolean copiesAtOnce;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemonThread(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        client.stop();
        server.close();
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "service");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startDaemonThread(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    /** Answers the path /first, and sends the answer a second time at once or before the next one on the connection. */
    private void serve(Socket socket) {
        try (socket) {
            OutputStream output = socket.getOutputStream();
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String copy = "";
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                boolean first = line.startsWith("GET /first ");
                while (!input.readLine().isEmpty()) {
                    continue;
                }
                write(output, copy);
                write(output, first ? FIRST_ANSWER : answer("second"));
                if (first && copiesAtOnce) {
                    write(output, FIRST_ANSWER);
                } else {
                    copy = FIRST_ANSWER;
                }
            }
        } catch (SocketException exception) {
            // The client closed the connection.
            return;
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String call(String path) throws Exception {
        ServiceCall call = new ServiceCall(
                new RequestId(path),
                "GET",
                path,
                Optional.empty(),
                new byte[0],
                Instant.now().plusSeconds(4));
        ServiceCallResult result = client.call(
                        TestEndpoints.at(new NetworkAddress("127.0.0.1", server.getLocalPort())), call)
                .get(5, TimeUnit.SECONDS);
        return new String(((ServiceCallResult.Answered) result).answer().body(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void copyOfAnAnswerIsNotTheAnswerToTheNextCall(boolean atOnce) throws Exception {
        copiesAtOnce = atOnce;
        assertEquals("first", call("/first"));
        Thread.sleep(100);
        assertEquals("second", call("/second"));
        assertEquals("second", call("/second"));
    }
}
