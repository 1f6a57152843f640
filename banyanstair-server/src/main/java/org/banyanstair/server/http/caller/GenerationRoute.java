package org.banyanstair.server.http.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Instant;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.external.Cancellation;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.ModelName;
import org.banyanstair.server.service.CallerService;
import org.banyanstair.server.service.Generation;

/** Handles chat and text completions. */
final class GenerationRoute {
    static final String CHAT = "/v1/chat/completions";
    static final String COMPLETIONS = "/v1/completions";

    private static final int FINGERPRINT_CHARACTERS = 32;

    private final CallerService service;
    private final DeadlinePolicy deadlinePolicy;

    GenerationRoute(CallerService service, DeadlinePolicy deadlinePolicy) {
        this.service = service;
        this.deadlinePolicy = deadlinePolicy;
    }

    void chat(CallerRequest request, CallerId caller) {
        generate(request, caller, CHAT);
    }

    void completion(CallerRequest request, CallerId caller) {
        generate(request, caller, COMPLETIONS);
    }

    private void generate(CallerRequest request, CallerId caller, String path) {
        byte[] bodyBytes = request.exchange().body();
        GenerationBody body = GenerationBody.parse(bodyBytes, path.equals(CHAT));
        ModelName model = body.model();
        ServiceDeclaration declared = CallerHttpServer.findAuthorizedService(service, model.service(), request, caller);
        AdapterVersion adapter = service.configuration().resolve(model).orElseThrow(() -> unknownModel(model));
        request.setAdapter(adapter);
        Instant deadline = RequestHeaders.deadline(request.exchange(), deadlinePolicy);
        Generation generation = new Generation(
                request.id(),
                declared,
                adapter,
                caller,
                RequestHeaders.priority(request.exchange()),
                deadline,
                path,
                body.forEngine(adapter),
                body.prefix(),
                fingerprint(caller, adapter, bodyBytes),
                body.sharedParts());
        Cancellation cancellation = service.generate(generation, createSink(request, adapter, body));
        request.exchange().onDisconnect(cancellation::cancel);
    }

    private static FailureException unknownModel(ModelName model) {
        String version = model.version().map(label -> "@" + label).orElse("");
        return new FailureException(new Failure.UnknownModel(model.service() + "/" + model.adapter() + version));
    }

    private static ResponseSink createSink(CallerRequest request, AdapterVersion adapter, GenerationBody body) {
        String id = (body.isChat() ? "chatcmpl-" : "cmpl-") + request.id();
        String model = adapter.engineName();
        return body.isStreaming()
                ? new StreamingSink(request, new ChunkRewriter(id, model, body.includesUsage()))
                : new CollectingSink(request, new ChunkAssembler(id, model, body.isChat()));
    }

    private static Fingerprint fingerprint(CallerId caller, AdapterVersion adapter, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update((caller + "\n" + adapter.engineName() + "\n").getBytes(StandardCharsets.UTF_8));
        return new Fingerprint(Hex.encodeHexString(digest.digest(body)).substring(0, FINGERPRINT_CHARACTERS));
    }
}
