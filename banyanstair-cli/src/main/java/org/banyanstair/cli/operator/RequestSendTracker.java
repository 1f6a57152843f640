package org.banyanstair.cli.operator;

import okhttp3.Call;
import okhttp3.EventListener;

/** Notes whether a request began to be sent; until then it is certain that the host has not received it. */
final class RequestSendTracker {
    static final EventListener.Factory FACTORY = call -> {
        RequestSendTracker tracker = call.request().tag(RequestSendTracker.class);
        return tracker == null ? EventListener.NONE : tracker.listener();
    };

    private volatile boolean sendStarted;

    boolean isSendStarted() {
        return sendStarted;
    }

    private EventListener listener() {
        return new EventListener() {
            @Override
            public void requestHeadersStart(Call call) {
                sendStarted = true;
            }
        };
    }
}
