package org.banyanstair.testsupport.endpoint;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against an exception when the client disconnects before the first event is sent. */
class ExchangeTest {
    @Test
    void eventStreamIsNotStartedOnClosedConnection() throws Exception {
        CompletableFuture<Exchange> arrived = new CompletableFuture<>();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        EndpointStandInServer server = new EndpointStandInServer(
                0,
                routes -> routes.on("GET", "/events", exchange -> {
                    exchange.onClose(() -> closed.complete(null));
                    arrived.complete(exchange);
                }));
        server.start();
        try {
            try (Socket socket = new Socket("127.0.0.1", server.address().port())) {
                socket.getOutputStream()
                        .write("GET /events HTTP/1.1\r\nHost: localhost\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                arrived.get(5, TimeUnit.SECONDS);
            }
            closed.get(5, TimeUnit.SECONDS);
            // Netty removes the channel handlers in a later task of the event loop.
            TimeUnit.MILLISECONDS.sleep(100);
            assertFalse(arrived.get().startEventStream());
        } finally {
            server.stop();
        }
    }
}
