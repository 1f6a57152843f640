package org.banyanstair.forwarder.internal;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.forwarder.CallerProtocol;
import org.banyanstair.forwarder.ParsedRequest;
import org.banyanstair.forwarder.Protocols;
import org.banyanstair.forwarding.ForwardRequest;
import org.banyanstair.forwarding.RefusalReason;
import org.banyanstair.forwarding.RequestLimits;
import org.banyanstair.model.RequestId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against request bodies that together take more memory than the host has. */
class UploadMemoryTest {
    private static final int LIMIT_BYTES = 100_000;

    private static final ConnectionMemoryBudget.Kind KIND = ConnectionMemoryBudget.Kind.REQUEST;

    private Instant now = Instant.EPOCH;
    private long exchanges;
    private final List<Object> refusals = new ArrayList<>();
    private final ConnectionMemoryBudget budget =
            new ConnectionMemoryBudget(new MemoryLimits(LIMIT_BYTES, LIMIT_BYTES, LIMIT_BYTES), () -> now);
    private final CallerProtocol callers = proxy(CallerProtocol.class, (method, arguments) -> switch (method) {
        case "findRequestId" -> "id";
        case "parseRequest" -> new ParsedRequest.Valid(new ForwardRequest(
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
                List.of()));
        case "refusalResponse" -> refusal(arguments);
        default -> null;
    });
    private final ForwarderContext context = proxy(ForwarderContext.class, (method, arguments) -> switch (method) {
        case "limits" -> new RequestLimits(4096, LIMIT_BYTES, Duration.ofSeconds(1), Duration.ofSeconds(1));
        case "now", "earliestArrival" -> now;
        case "memory" -> budget;
        case "protocols" -> new Protocols(callers, null, null, null);
        case "isStopping" -> false;
        case "nextExchangeNumber" -> ++exchanges;
        default -> null;
    });

    /** Result of a call of a method that the connection uses. */
    @FunctionalInterface
    private interface Calls {
        Object result(String method, Object[] arguments);
    }

    private static <T> T proxy(Class<T> type, Calls calls) {
        return type.cast(Proxy.newProxyInstance(
                UploadMemoryTest.class.getClassLoader(),
                new Class<?>[] {type},
                (self, method, arguments) -> calls.result(method.getName(), arguments)));
    }

    private DefaultFullHttpResponse refusal(Object... arguments) {
        refusals.add(arguments[0]);
        assertTrue(((Optional<?>) arguments[1]).isPresent(), "a refusal names a time to come back");
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private EmbeddedChannel open() {
        StrictRequestDecoder decoder = new StrictRequestDecoder(8 << 10, 8 << 10, 64 << 10);
        CallerConnection connection = new CallerConnection(context, decoder);
        return new EmbeddedChannel(decoder, connection);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static String head(int length) {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static boolean isRefused(EmbeddedChannel channel) {
        channel.runPendingTasks();
        return channel.readOutbound() instanceof HttpResponse response
                && response.status().code() == 503;
    }

    @Test
    void requestWhoseBodyDoesNotFitIsRefusedBeforeItIsRead() {
        EmbeddedChannel first = open();
        first.writeInbound(bytes(head(60_000) + "x".repeat(60_000)));
        EmbeddedChannel second = open();
        second.writeInbound(bytes(head(50_000)));
        assertTrue(isRefused(second));
        assertEquals(List.of(RefusalReason.HOST_MEMORY), refusals);
        EmbeddedChannel small = open();
        small.writeInbound(bytes(head(1000) + "x".repeat(1000)));
        assertFalse(isRefused(small));
        first.close();
        small.close();
        assertEquals(0, budget.heldBytes(KIND));
    }

    @Test
    void slowUploadsStayWithinTheLimitAndSomeComplete() {
        Random random = new Random(35);
        List<EmbeddedChannel> channels = new ArrayList<>();
        int[] sent = new int[300];
        for (int number = 0; number < sent.length; number++) {
            EmbeddedChannel channel = open();
            channel.writeInbound(bytes(head(4000)));
            channels.add(channel);
        }
        for (int step = 0; step < 100_000; step++) {
            now = now.plusMillis(1);
            int index = random.nextInt(sent.length);
            if (sent[index] < 4000 && channels.get(index).isOpen()) {
                sent[index] += 100;
                channels.get(index).writeInbound(bytes("x".repeat(100)));
            }
            assertTrue(budget.heldBytes(KIND) <= LIMIT_BYTES);
        }
        channels.forEach(EmbeddedChannel::runPendingTasks);
        assertTrue(exchanges > refusals.size(), "some requests were read as a whole");
        assertEquals(300, exchanges);
        channels.forEach(EmbeddedChannel::close);
        assertEquals(0, budget.heldBytes(KIND));
    }

    @Test
    void requestsBehindAnotherAreNotReadWithoutLimit() {
        EmbeddedChannel channel = open();
        channel.writeInbound(bytes(head(100)));
        channel.writeInbound(bytes("x".repeat(100)));
        assertTrue(channel.config().isAutoRead());
        for (int number = 0; number < 20 && channel.config().isAutoRead(); number++) {
            channel.writeInbound(bytes(head(9000) + "x".repeat(9000)));
        }
        assertFalse(channel.config().isAutoRead());
        assertTrue(budget.heldBytes(KIND) <= 8 * 9000 + 100);
        channel.close();
    }
}
