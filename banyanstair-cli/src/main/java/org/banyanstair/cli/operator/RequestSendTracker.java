package org.banyanstair.cli.operator;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Tracks whether sending a request has begun. Before that, the host cannot have received the request, and it is safe
 * to send it to another address.
 */
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
