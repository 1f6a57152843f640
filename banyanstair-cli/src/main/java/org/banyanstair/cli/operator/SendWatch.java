package org.banyanstair.cli.operator;

import okhttp3.Call;
import okhttp3.EventListener;

/** Notes whether a request began to be sent; until then it is certain that the host has not received it. */
final class SendWatch {
    static final EventListener.Factory FACTORY = call -> {
        SendWatch watch = call.request().tag(SendWatch.class);
        return watch == null ? EventListener.NONE : watch.listener();
    };

    private volatile boolean started;

    boolean isStarted() {
        return started;
    }

    private EventListener listener() {
        return new EventListener() {
            @Override
            public void requestHeadersStart(Call call) {
                started = true;
            }
        };
    }
}
