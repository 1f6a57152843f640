package org.banyanstair.forwarder.internal;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.forwarder.CallerProtocol;
import org.banyanstair.forwarder.ParsedRequest;
import org.banyanstair.forwarder.Protocols;
import org.banyanstair.forwarding.ForwardRequest;
import org.banyanstair.forwarding.RequestLimits;
import org.banyanstair.model.RequestId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against a connection that reads further requests while many are waiting. */
class PipelineBacklogTest {
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    private static Object protocolResult(String method) {
        return method.equals("parseRequest")
                ? new ParsedRequest.Valid(new ForwardRequest(
                        1,
                        new RequestId("id"),
                        "a",
                        "/",
                        Optional.empty(),
                        Optional.empty(),
                        List.of(),
                        0,
                        0,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        List.of()))
                : "";
    }

    private static Object contextResult(String method, Protocols protocols) {
        return switch (method) {
            case "limits" -> RequestLimits.DEFAULT;
            case "now", "earliestArrival" -> Instant.EPOCH;
            case "memory" -> new ConnectionMemoryBudget(
                    new MemoryLimits(32 << 20, 32 << 20, 32 << 20), InstantSource.system());
            case "protocols" -> protocols;
            case "isStopping" -> false;
            case "nextExchangeNumber" -> 1L;
            default -> null;
        };
    }

    @Test
    void readingDoesNotResumeWhileMoreRequestsWaitThanTheLimit() {
        ClassLoader loader = getClass().getClassLoader();
        CallerProtocol callers = (CallerProtocol) Proxy.newProxyInstance(
                loader,
                new Class<?>[] {CallerProtocol.class},
                (proxy, method, arguments) -> protocolResult(method.getName()));
        Protocols protocols = new Protocols(callers, null, null, null);
        ForwarderContext context = (ForwarderContext) Proxy.newProxyInstance(
                loader,
                new Class<?>[] {ForwarderContext.class},
                (proxy, method, arguments) -> contextResult(method.getName(), protocols));
        StrictRequestDecoder decoder = new StrictRequestDecoder(8 << 10, 8 << 10, 64 << 10);
        CallerConnection connection = new CallerConnection(context, decoder);
        EmbeddedChannel channel = new EmbeddedChannel(decoder, connection);
        channel.writeInbound(Unpooled.copiedBuffer(REQUEST.repeat(100), StandardCharsets.UTF_8));
        assertFalse(channel.config().isAutoRead(), "after the first 100 requests");
        connection.finish(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK), false);
        channel.runPendingTasks();
        assertFalse(channel.config().isAutoRead(), "98 requests wait");
    }
}
