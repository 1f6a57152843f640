package org.banyanstair.testsupport.history;

import java.util.Optional;

/** Computes the right answer of a request, which the stand-ins derive from the request alone. */
@FunctionalInterface
public interface AnswerOracle {
    /**
     * Computes the right answer.
     *
     * @param answered the answer that the caller received
     * @return what it should contain, empty if that is not known
     */
    Optional<ExpectedAnswer> expected(HistoryEvent.Answered answered);
}
