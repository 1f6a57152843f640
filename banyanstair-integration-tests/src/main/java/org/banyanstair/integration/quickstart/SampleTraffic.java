package org.banyanstair.integration.quickstart;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.ModelName;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.ServiceId;
import org.banyanstair.testsupport.engine.EngineText;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.ServiceRequest;

/** Creates the sample requests, in the same sequence in each run. Not thread-safe. */
final class SampleTraffic {
    private static final List<String> MODELS = List.of(
            "assistant/tender-schools",
            "proof-review/artwork-proof",
            "assistant/tender-schools@v1",
            "proof-review/artwork-proof@v3",
            "assistant/tender-kindergartens",
            "proof-review/colour-match-standard",
            "assistant/safety-code-kitchens@2026.1",
            "proof-review/colour-match-metallic@v1");
    private static final List<RequestKind> MIX = List.of(
            RequestKind.CHAT_STREAMED,
            RequestKind.STOCK,
            RequestKind.CHAT,
            RequestKind.ORDER,
            RequestKind.COMPLETION_STREAMED,
            RequestKind.COMPLETION,
            RequestKind.STOCK);
    private static final int MINIMUM_TOKENS = 20;
    private static final int TOKEN_LIMIT_COUNT = 40;
    /** Coprime with the sizes of the lists and the number of hosts, so that each host gets premium requests. */
    private static final int PREMIUM_INTERVAL = 5;

    private static final String ORDER_SERVICE = "order-desk";

    private int sequence;

    /** Returns the next request of the repeating mix. */
    SampleRequest next() {
        RequestKind kind = MIX.get(sequence % MIX.size());
        return switch (kind) {
            case STOCK -> stock();
            case ORDER -> order();
            default -> generation(kind);
        };
    }

    /** Returns an order with a new idempotency key. */
    SampleRequest order() {
        return order(RequestKind.ORDER, "order-" + ++sequence);
    }

    /** Returns several copies of a new order, all with the same idempotency key. */
    List<SampleRequest> copiesOfOrder(int copies) {
        String key = "shared-order-" + ++sequence;
        return Collections.nCopies(copies, order(RequestKind.SAME_KEY_ORDER, key));
    }

    private SampleRequest order(RequestKind kind, String key) {
        byte[] body = EndpointRecords.orderBody(key);
        return plainServiceRequest(
                kind,
                key,
                Optional.empty(),
                (client, host, deadline) -> client.call(
                        host, service("POST", "/orders", headers(defaultCaller(), deadline, Optional.of(key)), body)));
    }

    private SampleRequest stock() {
        String path = "/stock/fire-blanket?request=" + ++sequence;
        return plainServiceRequest(
                RequestKind.STOCK,
                path,
                Optional.empty(),
                (client, host, deadline) -> client.call(
                        host, service("GET", path, headers(defaultCaller(), deadline, Optional.empty()), new byte[0])));
    }

    private SampleRequest generation(RequestKind kind) {
        sequence++;
        return generation(kind, MODELS.get(sequence % MODELS.size()), MINIMUM_TOKENS + sequence % TOKEN_LIMIT_COUNT);
    }

    private SampleRequest generation(RequestKind kind, String model, int tokens) {
        boolean chat = kind == RequestKind.CHAT || kind == RequestKind.CHAT_STREAMED;
        boolean stream = kind == RequestKind.CHAT_STREAMED || kind == RequestKind.COMPLETION_STREAMED;
        CallerId caller = new CallerId(sequence % 2 == 0 ? Cluster.CALLER : Cluster.OTHER_CALLER);
        PriorityClass priority = sequence % PREMIUM_INTERVAL == 0 ? PriorityClass.PREMIUM : PriorityClass.STANDARD;
        String text = "Answer enquiry " + sequence + ".";
        String prompt = chat ? "user: " + text + "\n" : text;
        SampleRequest.Call call = (client, host, deadline) -> {
            CallerHeaders headers = new CallerHeaders(
                    Cluster.key(caller.value()), Optional.of(deadline), Optional.of(priority), Optional.empty());
            ChatCall body = new ChatCall(headers, model, text, tokens, stream);
            return chat ? client.chat(host, body) : client.complete(host, body);
        };
        return new SampleRequest(
                kind,
                EngineText.digest(prompt),
                caller,
                priority,
                Optional.of(ModelName.parse(model)),
                Optional.of(new SampleRequest.Prompt(prompt, tokens)),
                Optional.empty(),
                call);
    }

    /**
     * Returns one request for each caller error in the report.
     *
     * @param answeredOrder an answered order, whose key is reused with another body
     */
    List<SampleRequest> badRequests(SampleRequest answeredOrder) {
        List<SampleRequest> requests = new ArrayList<>();
        requests.add(badChat("unknown_model", defaultCaller(), "assistant/no-such-adapter", 8));
        requests.add(badChat("invalid_field", defaultCaller(), "assistant/tender-schools", 0));
        requests.add(badChat(
                "caller_not_allowed", new CallerId(Cluster.UNAUTHORIZED_CALLER), "assistant/tender-schools", 8));
        requests.add(badChat("unauthenticated", new CallerId("nobody"), "assistant/tender-schools", 8));
        requests.add(badOrder("missing_idempotency_key", Optional.empty()));
        requests.add(badOrder("idempotency_key_reused", Optional.of(answeredOrder.key())));
        requests.add(expiredOrder());
        return requests;
    }

    private SampleRequest badChat(String code, CallerId caller, String model, int tokens) {
        String text = "Bad request " + ++sequence + ".";
        return new SampleRequest(
                RequestKind.BAD,
                EngineText.digest("user: " + text + "\n"),
                caller,
                PriorityClass.STANDARD,
                Optional.of(ModelName.parse(model)),
                Optional.empty(),
                Optional.of(code),
                (client, host, deadline) -> client.chat(
                        host, new ChatCall(headers(caller, deadline, Optional.empty()), model, text, tokens, true)));
    }

    private SampleRequest badOrder(String code, Optional<String> idempotencyKey) {
        String reference = "bad-order-" + ++sequence;
        byte[] body = EndpointRecords.orderBody(reference);
        return plainServiceRequest(
                RequestKind.BAD,
                reference,
                Optional.of(code),
                (client, host, deadline) -> client.call(
                        host, service("POST", "/orders", headers(defaultCaller(), deadline, idempotencyKey), body)));
    }

    private SampleRequest expiredOrder() {
        String reference = "late-order-" + ++sequence;
        byte[] body = EndpointRecords.orderBody(reference);
        return plainServiceRequest(
                RequestKind.BAD,
                reference,
                Optional.of("deadline_passed"),
                (client, host, deadline) -> client.call(
                        host,
                        service(
                                "POST",
                                "/orders",
                                headers(defaultCaller(), Instant.EPOCH, Optional.of(reference)),
                                body)));
    }

    private static SampleRequest plainServiceRequest(
            RequestKind kind, String key, Optional<String> refusal, SampleRequest.Call call) {
        return new SampleRequest(
                kind, key, defaultCaller(), PriorityClass.STANDARD, Optional.empty(), Optional.empty(), refusal, call);
    }

    private static CallerId defaultCaller() {
        return new CallerId(Cluster.CALLER);
    }

    private static CallerHeaders headers(CallerId caller, Instant deadline, Optional<String> key) {
        return new CallerHeaders(Cluster.key(caller.value()), Optional.of(deadline), Optional.empty(), key);
    }

    private static ServiceRequest service(String method, String path, CallerHeaders headers, byte[] body) {
        Optional<String> type = body.length == 0 ? Optional.empty() : Optional.of("application/json");
        return new ServiceRequest(headers, new ServiceId(ORDER_SERVICE), method, path, type, body);
    }
}
