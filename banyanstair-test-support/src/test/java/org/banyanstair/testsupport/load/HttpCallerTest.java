package org.banyanstair.testsupport.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.ServiceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against confusing answered, not-run and unknown outcomes; a plain HTTP server acts as entry host. */
class HttpCallerTest {
    private static final CallerHeaders HEADERS = new CallerHeaders(
            "key", Optional.of(Instant.EPOCH), Optional.of(PriorityClass.PREMIUM), Optional.of("order-1"));
    private static final String ERROR = "{\"error\":{\"code\":\"queue_full\"}}";

    private final HttpCaller caller = new HttpCaller(10, Duration.ofSeconds(5), InstantSource.system());
    private final AtomicReference<Map<String, List<String>>> receivedHeaders = new AtomicReference<>();
    private HttpServer server;
    private volatile HttpHandler handler;
    private NetworkAddress address;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        server.createContext("/", exchange -> handler.handle(exchange));
        server.start();
        address = new NetworkAddress("127.0.0.1", server.getAddress().getPort());
    }

    @AfterEach
    void stop() {
        caller.close();
        server.stop(0);
    }

    @Test
    void readsStreamWithTokenTimes() throws Exception {
        serve(200, Map.of("Content-Type", "text/event-stream"), chunk("Dear "), chunk("school"), "data: [DONE]\n\n");
        CallerResult.Generated result = (CallerResult.Generated) chat(true);
        assertEquals("Dear school", result.text());
        assertEquals(2, result.tokens());
        assertEquals(Optional.of("r1"), result.requestId());
        assertEquals(Optional.of(AdapterVersion.parse("assistant/tender@v1")), result.adapter());
        assertEquals("assistant/tender@v1", result.model());
        assertTrue(result.tokenGaps().get(0).toMillis() >= 15, "the server waits 20 ms between chunks");
        assertTrue(result.firstToken().orElseThrow().toNanos() > 0);
        assertEquals(List.of("Bearer key"), receivedHeaders.get().get("Authorization"));
        assertEquals(List.of("premium"), receivedHeaders.get().get("X-priority"));
        assertEquals(List.of("1970-01-01T00:00:00Z"), receivedHeaders.get().get("X-request-deadline"));
    }

    @Test
    void streamWithoutEndIsUnknown() throws Exception {
        serve(200, Map.of("Content-Type", "text/event-stream"), chunk("Dear "));
        CallerResult.Unknown result = (CallerResult.Unknown) chat(true);
        assertEquals("connection_lost", result.code());
        assertEquals(1, result.tokenTimes().size());
    }

    @Test
    void streamWithErrorIsUnknown() throws Exception {
        serve(200, Map.of("Content-Type", "text/event-stream"), chunk("Dear "), "data: " + ERROR + "\n\n");
        assertEquals("queue_full", ((CallerResult.Unknown) chat(true)).code());
    }

    @Test
    void readsJsonResponse() throws Exception {
        serve(
                200,
                Map.of("Content-Type", "application/json"),
                "{\"model\":\"m\",\"choices\":[{\"message\":{\"content\":\"Dear\"}}],"
                        + "\"usage\":{\"completion_tokens\":1}}");
        CallerResult.Generated result = (CallerResult.Generated) chat(false);
        assertEquals("Dear", result.text());
        assertEquals(1, result.tokens());
    }

    @Test
    void readsTextCompletionInBothForms() throws Exception {
        ChatCall call = new ChatCall(HEADERS, "assistant/tender", "Draft a reply", 16, true);
        serve(
                200,
                Map.of("Content-Type", "text/event-stream"),
                "data: {\"choices\":[{\"text\":\"Dear \"}]}\n\n",
                "data: [DONE]\n\n");
        CallerResult streamed = caller.complete(address, call).get(5, TimeUnit.SECONDS);
        assertEquals("Dear ", ((CallerResult.Generated) streamed).text());
        serve(
                200,
                Map.of("Content-Type", "application/json"),
                "{\"choices\":[{\"text\":\"Dear school\"}],\"usage\":{\"completion_tokens\":2}}");
        CallerResult whole = caller.complete(address, call).get(5, TimeUnit.SECONDS);
        assertEquals("Dear school", ((CallerResult.Generated) whole).text());
        assertEquals(2, ((CallerResult.Generated) whole).tokens());
    }

    @Test
    void outcomeHeaderDistinguishesNotRunFromUnknown() throws Exception {
        serve(503, Map.of("X-Outcome", "not-run"), ERROR);
        assertEquals(new CallerResult.NotRun(Optional.of("r1"), 503, "queue_full"), chat(true));
        assertEquals(new CallerResult.NotRun(Optional.of("r1"), 503, "queue_full"), order());
        serve(504, Map.of("X-Outcome", "unknown"), ERROR);
        assertEquals(new CallerResult.Unknown(Optional.of("r1"), 504, "queue_full", List.of()), order());
    }

    @Test
    void errorStatusOfPlainServiceIsAnswered() throws Exception {
        serve(409, Map.of(), "sold out");
        CallerResult.ServiceAnswered result = (CallerResult.ServiceAnswered) order();
        assertEquals(409, result.status());
        assertEquals("sold out", new String(result.body(), StandardCharsets.UTF_8));
        assertEquals(List.of("order-1"), receivedHeaders.get().get("Idempotency-key"));
    }

    @Test
    void refusedConnectionIsNotRun() throws Exception {
        server.stop(0);
        assertEquals(new CallerResult.NotRun(Optional.empty(), 0, "connect_failed"), order());
    }

    @Test
    void readsEntryAddresses() throws Exception {
        serve(
                200,
                Map.of(),
                "{\"addresses\":[{\"host\":\"entry-1\",\"address\":\"127.0.0.1:80\"}],"
                        + "\"keep_until\":\"1970-01-01T00:00:00Z\"}");
        EntryList expected = new EntryList(List.of(new NetworkAddress("127.0.0.1", 80)), Instant.EPOCH);
        assertEquals(expected, caller.entryAddresses(address).get(5, TimeUnit.SECONDS));
        // An entry host responds with 401 without a key.
        assertEquals(expected, caller.entryAddresses(address, HEADERS).get(5, TimeUnit.SECONDS));
        assertTrue(receivedHeaders.get().get("Authorization").get(0).startsWith("Bearer "));
    }

    private CallerResult chat(boolean stream) throws Exception {
        ChatCall call = new ChatCall(HEADERS, "assistant/tender", "Draft a reply", 16, stream);
        return caller.chat(address, call).get(5, TimeUnit.SECONDS);
    }

    private CallerResult order() throws Exception {
        ServiceRequest request = new ServiceRequest(
                HEADERS, new ServiceId("desk"), "POST", "/orders", Optional.of("text/plain"), new byte[] {'1'});
        return caller.call(address, request).get(5, TimeUnit.SECONDS);
    }

    private static String chunk(String token) {
        return "data: {\"model\":\"assistant/tender@v1\",\"choices\":[{\"delta\":{\"content\":\"" + token
                + "\"}}]}\n\n";
    }

    /** Responds to all requests with a status, headers and the given parts of a body, 20 ms apart. */
    private void serve(int status, Map<String, String> headers, String... parts) {
        handler = exchange -> answer(exchange, status, headers, parts);
    }

    private void answer(HttpExchange exchange, int status, Map<String, String> headers, String... parts)
            throws IOException {
        try (exchange) {
            receivedHeaders.set(Map.copyOf(exchange.getRequestHeaders()));
            exchange.getRequestBody().readAllBytes();
            headers.forEach(exchange.getResponseHeaders()::set);
            exchange.getResponseHeaders().set("X-Request-Id", "r1");
            exchange.getResponseHeaders().set("X-Adapter-Version", "assistant/tender@v1");
            exchange.sendResponseHeaders(status, 0);
            for (String part : parts) {
                exchange.getResponseBody().write(part.getBytes(StandardCharsets.UTF_8));
                exchange.getResponseBody().flush();
                TimeUnit.MILLISECONDS.sleep(20);
            }
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
    }
}
