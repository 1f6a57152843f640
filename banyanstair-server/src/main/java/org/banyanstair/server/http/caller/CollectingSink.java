package org.banyanstair.server.http.caller;

import java.io.IOException;
import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.server.http.Exchange;

/** Collects all tokens into a single response. */
final class CollectingSink extends ResponseSink {
    private final ChunkAssembler assembler;

    CollectingSink(CallerRequest request, ChunkAssembler assembler) {
        super(request);
        this.assembler = assembler;
    }

    @Override
    void accept(String json) throws IOException {
        assembler.add(json);
    }

    @Override
    void finish() throws IOException {
        request().setAdapterVersionHeader();
        request().respond(200, Optional.of(Exchange.JSON), assembler.toJson());
    }

    @Override
    void fail(Failure failure, FailureOutcome outcome) {
        request().fail(failure, outcome);
    }
}
