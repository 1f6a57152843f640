package org.banyanstair.testsupport.history;

import java.util.List;

import org.banyanstair.model.AdapterVersion;

/** A broken promise that a history shows. */
public sealed interface Violation {
    /**
     * The answer names another adapter or version than the request.
     *
     * @param answered the answer
     */
    record AnsweredByAnotherVersion(HistoryEvent.Answered answered) implements Violation {}

    /**
     * An endpoint ran the request on another version than the answer names.
     *
     * @param answered the answer
     * @param ran what it ran on
     */
    record RanOnAnotherVersion(HistoryEvent.Answered answered, AdapterVersion ran) implements Violation {}

    /**
     * The text or the number of tokens is wrong.
     *
     * @param answered the answer
     * @param expected what it should contain
     */
    record WrongText(HistoryEvent.Answered answered, ExpectedAnswer expected) implements Violation {}

    /**
     * A request ran although its caller was told that it did not.
     *
     * @param notRun what the caller was told
     * @param run the run
     */
    record RanAlthoughNotRun(HistoryEvent.NotRun notRun, EndpointRun run) implements Violation {}

    /**
     * A non-idempotent request ran more than once.
     *
     * @param key its key
     * @param runs the runs
     */
    record RanMoreThanOnce(String key, List<EndpointRun> runs) implements Violation {}

    /**
     * No endpoint ran a non-idempotent request that was acknowledged.
     *
     * @param answered the acknowledgement
     */
    record AcknowledgedButNeverRan(HistoryEvent.Answered answered) implements Violation {}

    /**
     * An adapter was unloaded while a request ran on it.
     *
     * @param unload the unload
     * @param run the request
     */
    record UnloadedInUse(EndpointUnload unload, EndpointRun run) implements Violation {}
}
