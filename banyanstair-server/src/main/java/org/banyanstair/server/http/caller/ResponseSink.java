package org.banyanstair.server.http.caller;

import java.io.IOException;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.server.service.GenerationSink;
import org.tinylog.Logger;

/**
 * Base class of the sinks: records tokens for the metrics, handles unreadable chunks, and ignores callbacks after the
 * end of the request.
 */
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
            // A request that has produced tokens did run, regardless of why it ended.
            fail(failure, receivedTokens ? FailureOutcome.UNKNOWN : failure.outcome());
        }
    }

    private void failUnreadableChunk(IOException exception) {
        Logger.warn(exception, "request {} received an unreadable chunk", request.id());
        fail(new Failure.InternalError(), FailureOutcome.UNKNOWN);
    }

    abstract void accept(String json) throws IOException;

    abstract void finish() throws IOException;

    abstract void fail(Failure failure, FailureOutcome outcome);
}
