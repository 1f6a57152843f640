package org.banyanstair.server.http.caller;

import java.io.IOException;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.server.service.GenerationSink;
import org.tinylog.Logger;

/** Common part of the sinks: counts tokens, guards against unreadable chunks and ignores what comes after the end. */
abstract class ResponseSink implements GenerationSink {
    private final CallerRequest request;
    private boolean receivedTokens;

    ResponseSink(CallerRequest request) {
        this.request = request;
    }

    CallerRequest request() {
        return request;
    }

    @Override
    public final void attemptStarting(long loadStallMilliseconds) {
        request.addLoadStall(loadStallMilliseconds);
    }

    @Override
    public final void token(long index, String json) {
        if (request.isEnded()) {
            return;
        }
        receivedTokens = true;
        request.recordToken();
        try {
            accept(json);
        } catch (IOException exception) {
            failUnreadableChunk(exception);
        }
    }

    @Override
    public final void completed() {
        if (request.isEnded()) {
            return;
        }
        try {
            finish();
        } catch (IOException exception) {
            failUnreadableChunk(exception);
        }
    }

    @Override
    public final void failed(Failure failure) {
        if (!request.isEnded()) {
            // A request whose tokens have arrived did run, whatever ended it.
            fail(failure, receivedTokens ? FailureOutcome.UNKNOWN : failure.outcome());
        }
    }

    private void failUnreadableChunk(IOException exception) {
        Logger.warn(exception, "request {} got a chunk that cannot be read", request.id());
        fail(new Failure.InternalError(), FailureOutcome.UNKNOWN);
    }

    abstract void accept(String json) throws IOException;

    abstract void finish() throws IOException;

    abstract void fail(Failure failure, FailureOutcome outcome);
}
