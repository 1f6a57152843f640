package org.banyanstair.testsupport.history;

import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.ModelName;

/** Event that a caller recorded. */
public sealed interface HistoryEvent {
    /** Returns the key, the caller, the host and the times. */
    EventContext context();

    /**
     * A request was sent. Its outcome is unknown unless a later event records one.
     *
     * @param context key, caller, host and times
     * @param model model that the request names, empty for a plain service
     * @param repeatable true for an idempotent request
     */
    record Sent(EventContext context, Optional<ModelName> model, boolean repeatable) implements HistoryEvent {}

    /**
     * The complete response was received.
     *
     * @param context key, caller, host and times
     * @param requestId id that the entry host returned
     * @param adapter adapter version that the answer names, empty for a plain service
     * @param tokens number of tokens, 0 for a plain service
     * @param textDigest digest of the text or body
     */
    record Answered(
            EventContext context,
            Sent sent,
            Optional<String> requestId,
            int status,
            Optional<AdapterVersion> adapter,
            int tokens,
            String textDigest)
            implements HistoryEvent {
        /**
         * Returns whether the response acknowledges the effect of the request.
         *
         * @return true for a status of 200 to 299
         */
        public boolean isAcknowledged() {
            return status >= 200 && status < 300;
        }
    }

    /**
     * The system reported that the request did not run.
     *
     * @param context key, caller, host and times
     * @param requestId id that the entry host returned
     */
    record NotRun(EventContext context, Sent sent, Optional<String> requestId, String code) implements HistoryEvent {}

    /**
     * The caller does not know whether the request ran.
     *
     * @param context key, caller, host and times
     */
    record Unknown(EventContext context, Sent sent) implements HistoryEvent {}
}
