package org.banyanstair.testsupport.history;

import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.ModelName;

/** One thing that a caller did or saw. */
public sealed interface HistoryEvent {
    /**
     * Returns what all events have in common.
     *
     * @return key, caller, host and times
     */
    EventContext context();

    /**
     * A request was sent. Without a later outcome it counts as unknown.
     *
     * @param context key, caller, host and times
     * @param model model that the request names, empty for a plain service
     * @param repeatable whether the request is idempotent
     */
    record Sent(EventContext context, Optional<ModelName> model, boolean repeatable) implements HistoryEvent {}

    /**
     * The whole answer came.
     *
     * @param context key, caller, host and times
     * @param sent the request
     * @param requestId id that the entry host returned
     * @param status HTTP status
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
         * Returns whether the caller may rely on the effect of the request.
         *
         * @return true for a status of 200 to 299
         */
        public boolean isAcknowledged() {
            return status >= 200 && status < 300;
        }
    }

    /**
     * The caller was told that the request did not run.
     *
     * @param context key, caller, host and times
     * @param sent the request
     * @param requestId id that the entry host returned
     * @param code failure code
     */
    record NotRun(EventContext context, Sent sent, Optional<String> requestId, String code) implements HistoryEvent {}

    /**
     * The caller does not know whether the request ran.
     *
     * @param context key, caller, host and times
     * @param sent the request
     */
    record Unknown(EventContext context, Sent sent) implements HistoryEvent {}
}
