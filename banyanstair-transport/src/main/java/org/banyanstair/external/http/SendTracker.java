package org.banyanstair.external.http;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have been sent.
 *
 * <p>OkHttp reports the start of the headers before it writes the first byte, so that a call that fails earlier has
 * certainly not reached the server.
 */
final class SendTracker extends EventListener {
    private volatile boolean sending;

    @Override
    public void requestHeadersStart(Call call) {
        sending = true;
    }

    boolean mayHaveSent() {
        return sending;
    }
}
