package org.banyanstair.external.http;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.GenerationResult;
import org.banyanstair.testsupport.endpoint.EndpointStandInServer;
import org.banyanstair.testsupport.endpoint.Exchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a client that forwards a stream with gaps or trusts responses that the protocol does not define. */
class HttpEngineClientProtocolTest {
    private final HttpEngineClient client = new HttpEngineClient(EngineClientTimeouts.DEFAULT);
    private final AtomicInteger received = new AtomicInteger();
    private EndpointStandInServer server;

    @AfterEach
    void stop() {
        client.stop();
        server.stop();
    }

    private RecordingTokenListener generate(Consumer<Exchange> answer) {
        server = new EndpointStandInServer(
                0,
                routes -> routes.on("POST", "/*", exchange -> {
                    received.incrementAndGet();
                    answer.accept(exchange);
                }));
        server.start();
        RecordingTokenListener recorder = new RecordingTokenListener();
        client.generate(
                TestEndpoints.at(server.address()),
                TestEndpoints.request("r", 3, 0, Instant.now().plusSeconds(5)),
                recorder);
        return recorder;
    }

    private RecordingTokenListener stream(String events) {
        return generate(exchange -> {
            exchange.startEventStream();
            exchange.writeEvents(events);
            exchange.endEventStream();
        });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 0\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n",
                "id: 0\ndata: {}\n\nid: 0\ndata: {}\n\ndata: [DONE]\n\n",
                "id: 0\ndata: {}\n\ndata: {}\n\ndata: [DONE]\n\n",
                "id: 0\ndata: {}\n\nid: x\ndata: {}\n\ndata: [DONE]\n\n",
                "id: 0\ndata: {}\n\nid: 1\ndata: {}\n\n",
                "id: 0\ndata: {}\n\ndata: [DONE]",
                "id: 0\ndata: {}\n\nid: 1\ndata: [DONE]\n\n",
            })
    void streamWithAGapARepeatOrNoEndIsBroken(String events) throws Exception {
        RecordingTokenListener recorder = stream(events);
        assertEquals(new GenerationResult.Broken(new Failure.EndpointFailed(TestEndpoints.ID)), recorder.end());
        assertEquals(0L, recorder.indexes().get(0));
    }

    @Test
    void allFormsOfTheEventStreamAreRead() throws Exception {
        RecordingTokenListener recorder = stream(
                ": comment\n\nevent: x\r\nid:0\r\ndata:{\"a\":1}\r\n\r\nid: 1\ndata: {\ndata: }\n\ndata: [DONE]\n\n");
        assertEquals(new GenerationResult.Complete(), recorder.end());
        assertEquals(List.of(0L, 1L), recorder.indexes());
        assertEquals("{\"a\":1}{\n}", recorder.json());
    }

    @Test
    void requestCarriesHeadersForTheEngine() throws Exception {
        Map<String, String> headers = new ConcurrentHashMap<>();
        generate(exchange -> {
                    headers.putAll(exchange.context().headerMap());
                    exchange.respondError(404, "stream_not_found", "text");
                })
                .end();
        assertEquals("r", headers.get("X-Request-Id"));
        assertEquals("standard", headers.get("X-Priority"));
        assertTrue(Instant.parse(headers.get("X-Request-Deadline")).isAfter(Instant.now()));
        assertTrue(headers.get("Content-Type").startsWith("application/json"));
        assertFalse(headers.containsKey("Last-Event-ID"));
        RecordingTokenListener resumed = new RecordingTokenListener();
        client.generate(
                TestEndpoints.at(server.address()),
                TestEndpoints.request("r", 9, 5, Instant.now().plusSeconds(5)),
                resumed);
        resumed.end();
        assertEquals("4", headers.get("Last-Event-ID"));
    }

    @ParameterizedTest
    @CsvSource({
        "500,load_failed",
        "503,overloaded",
        "404,unheard_of",
        "307,moved",
        "409,adapter_not_loaded",
        "202,accepted"
    })
    void undefinedAnswerIsNeitherTrustedNorRepeated(int status, String code) throws Exception {
        RecordingTokenListener recorder = generate(exchange -> {
            exchange.context().setResponseHeader("Retry-After", "0");
            exchange.context().setResponseHeader("Location", "/elsewhere");
            exchange.respondError(status, code, "text");
        });
        assertTrue(recorder.end() instanceof GenerationResult.Broken);
        assertEquals(1, received.get());
        EngineCommandResult load = client.load(TestEndpoints.at(server.address()), TestEndpoints.ADAPTER, 1)
                .get();
        assertTrue(load instanceof EngineCommandResult.Unknown, load.toString());
        assertEquals(2, received.get());
    }
}
