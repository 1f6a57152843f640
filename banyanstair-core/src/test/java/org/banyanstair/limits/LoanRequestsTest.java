package org.banyanstair.limits;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against loans that count for more than one request, or for longer than their lender assumes. */
class LoanRequestsTest {
    private static final HostId LENDER = new HostId("lender");

    private static final EndpointId ENDPOINT = new EndpointId("i-1");

    private static final Instant NOW = Instant.ofEpochSecond(100);

    private static final Instant DEADLINE = NOW.plusMillis(250);

    private final LoanRequests loans = new LoanRequests();

    private Optional<HostId> ask(long request) {
        return loans.begin(request, List.of(LENDER), 10, DEADLINE, NOW);
    }

    @Test
    void loanIsForOneRequestToOneProcess() {
        assertEquals(Optional.of(LENDER), ask(1));
        assertTrue(loans.granted(1, LENDER, ENDPOINT, 5, NOW));
        assertFalse(loans.granted(1, LENDER, ENDPOINT, 5, NOW), "a second copy of the answer");
        assertFalse(loans.use(ENDPOINT, 6, NOW), "another process");
        assertTrue(loans.use(ENDPOINT, 5, NOW));
        assertFalse(loans.use(ENDPOINT, 5, NOW));
    }

    @Test
    void loanLapsesAtTheTimeoutOfItsRequest() {
        ask(1);
        assertFalse(loans.granted(1, LENDER, ENDPOINT, 5, DEADLINE));
        ask(2);
        loans.granted(2, LENDER, ENDPOINT, 5, NOW);
        assertFalse(loans.use(ENDPOINT, 5, DEADLINE));
    }

    @Test
    void lenderThatRefusesOrIsSilentIsNotAskedForAWhile() {
        ask(1);
        loans.refused(1, LENDER, NOW, NOW);
        assertTrue(ask(2).isEmpty());
        Instant later = NOW.plusSeconds(1);
        assertEquals(Optional.of(LENDER), loans.begin(3, List.of(LENDER), 10, later.plusMillis(250), later));
        Instant timedOut = later.plusMillis(250);
        assertTrue(loans.begin(3, List.of(LENDER), 10, timedOut.plusMillis(250), timedOut)
                .isEmpty());
    }
}
