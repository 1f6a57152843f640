package org.banyanstair.server.http.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.idempotency.CallKey;
import org.banyanstair.model.CallerId;
import org.banyanstair.server.http.Exchange;
import org.banyanstair.server.service.CallerService;
import org.banyanstair.server.service.PlainCall;

/** Forwards calls to plain services. */
final class PlainCallRoute {
    private final CallerService service;
    private final DeadlinePolicy deadlinePolicy;

    PlainCallRoute(CallerService service, DeadlinePolicy deadlinePolicy) {
        this.service = service;
        this.deadlinePolicy = deadlinePolicy;
    }

    void call(CallerRequest request, CallerId caller) {
        Exchange exchange = request.exchange();
        CallPath target = CallPath.parse(exchange.uri());
        ServiceDeclaration declared =
                CallerHttpServer.findAuthorizedService(service, target.service(), request, caller);
        if (declared.kind() != ServiceKind.PLAIN) {
            throw new FailureException(new Failure.UnknownService(target.service()));
        }
        ServiceCall call = new ServiceCall(
                request.id(),
                exchange.method(),
                target.path() + target.query(),
                exchange.header("Content-Type"),
                exchange.body(),
                RequestHeaders.deadline(exchange, deadlinePolicy));
        PlainCall plainCall = new PlainCall(
                declared,
                caller,
                RequestHeaders.priority(exchange),
                call,
                idempotencyKey(exchange, caller, declared, target),
                requestDigest(call));
        service.call(plainCall).whenComplete((answer, error) -> complete(request, answer, error));
    }

    private static Optional<CallKey> idempotencyKey(
            Exchange exchange, CallerId caller, ServiceDeclaration declared, CallPath target) {
        if (declared.isRepeatable(exchange.method(), target.path())) {
            return Optional.empty();
        }
        String key = exchange.header(RequestHeaders.IDEMPOTENCY_KEY)
                .orElseThrow(() -> new FailureException(new Failure.MissingIdempotencyKey(declared.id())));
        return Optional.of(new CallKey(caller, declared.id(), key));
    }

    private static String requestDigest(ServiceCall call) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update((call.method() + "\n" + call.path() + "\n").getBytes(StandardCharsets.UTF_8));
        return Hex.encodeHexString(digest.digest(call.body()));
    }

    private static void complete(CallerRequest request, CallAnswer answer, Throwable error) {
        if (answer instanceof CallAnswer.Answered answered) {
            respond(request, answered);
        } else if (answer instanceof CallAnswer.NotRun notRun) {
            request.fail(notRun.failure(), FailureOutcome.NOT_RUN);
        } else if (answer instanceof CallAnswer.Unknown unknown) {
            request.fail(unknown.failure(), FailureOutcome.UNKNOWN);
        } else {
            org.tinylog.Logger.error(error, "call of request {} failed without a result", request.id());
            request.fail(new Failure.InternalError(), FailureOutcome.UNKNOWN);
        }
    }

    private static void respond(CallerRequest request, CallAnswer.Answered answered) {
        ServiceAnswer answer = answered.answer();
        if (answered.repeated()) {
            request.exchange().responseHeader("Idempotent-Replayed", "true");
        }
        boolean head = request.exchange().method().equals("HEAD");
        request.respond(answer.status(), answer.contentType(), head ? new byte[0] : answer.body());
    }
}
