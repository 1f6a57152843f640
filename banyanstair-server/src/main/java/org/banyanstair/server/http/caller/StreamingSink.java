package org.banyanstair.server.http.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.server.http.ErrorResponse;
import org.banyanstair.server.http.EventStream;

/**
 * Forwards tokens as server-sent events.
 *
 * <p>The response starts with the first event, so that a failure before it is still reported with its own status.
 */
final class StreamingSink extends ResponseSink {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final ChunkRewriter rewriter;
    private Optional<EventStream> stream = Optional.empty();

    StreamingSink(CallerRequest request, ChunkRewriter rewriter) {
        super(request);
        this.rewriter = rewriter;
    }

    private EventStream stream() {
        if (stream.isEmpty()) {
            request().setAdapterVersionHeader();
            stream = Optional.of(request().exchange().startEventStream());
        }
        return stream.get();
    }

    @Override
    void accept(String json) throws IOException {
        rewriter.rewrite(json).ifPresent(event -> stream().send(event));
    }

    @Override
    void finish() {
        stream().send(DONE);
        stream().end();
        request().recordSuccess();
    }

    @Override
    void fail(Failure failure, FailureOutcome outcome) {
        if (stream.isEmpty()) {
            request().fail(failure, outcome);
            return;
        }
        String event = "data: " + new String(ErrorResponse.envelopeBytes(failure), StandardCharsets.UTF_8) + "\n\n";
        stream().send(event.getBytes(StandardCharsets.UTF_8));
        stream().endAndClose();
        request().recordStreamFailure(failure);
    }
}
