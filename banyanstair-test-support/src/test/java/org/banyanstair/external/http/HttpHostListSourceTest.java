package org.banyanstair.external.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.Outage;
import org.banyanstair.testsupport.hosts.HostListFaults;
import org.banyanstair.testsupport.hosts.HostListStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against listings that lose fields, go back to an older version, or hide that the host list is unavailable. */
class HttpHostListSourceTest {
    private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 9);
    private static final EntryHost HOST =
            new EntryHost(new HostId("entry-1"), Presence.LIVE, new DataCentre("ub-east"), ADDRESS, ADDRESS, ADDRESS);
    private static final Endpoint ENDPOINT = new Endpoint(
            new EndpointId("runner-1"),
            EndpointKind.ENGINE,
            Presence.LEAVING,
            new DataCentre("ub-west"),
            new PoolId("assistant"),
            ADDRESS,
            8,
            16,
            true);

    private HostListStandIn hosts;
    private HttpHostListSource source;

    @BeforeEach
    void start() {
        hosts = new HostListStandIn(0, Duration.ZERO);
        source = new HttpHostListSource(hosts.start(), Duration.ofSeconds(1));
    }

    @AfterEach
    void stop() {
        source.stop();
        hosts.stop();
    }

    @Test
    void entriesAreReadAsTheyWerePut() throws Exception {
        assertEquals(HostListing.EMPTY, read());
        hosts.put(HOST);
        hosts.put(ENDPOINT);
        assertEquals(new HostListing(2, List.of(HOST), List.of(ENDPOINT)), read());
        hosts.remove(HOST.id());
        assertEquals(new HostListing(3, List.of(), List.of(ENDPOINT)), read());
    }

    /**
     * Guards against reading an unchanged list in full: 970 entries per second would cost a host 57 times its budget
     * for control traffic.
     */
    @Test
    void unchangedListIsNotSentAgain() throws Exception {
        hosts.put(HOST);
        HostListing first = read();
        assertEquals(first, read());
        assertEquals(1, hosts.counters().get("unchangedReads"));
        hosts.put(ENDPOINT);
        assertEquals(new HostListing(2, List.of(HOST), List.of(ENDPOINT)), read());
        assertEquals(1, hosts.counters().get("unchangedReads"));
    }

    @Test
    void changesAppearAfterTheLagAndNeverGoBack() throws Exception {
        hosts.put(HOST);
        assertEquals(1, read().version());
        hosts.setFaults(new HostListFaults(Faults.NONE, java.util.Optional.of(400L)));
        hosts.put(ENDPOINT);
        assertEquals(1, read().version());
        Thread.sleep(500);
        assertEquals(2, read().version());
    }

    @Test
    void failuresOfTheSourceAreReported() {
        hosts.setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
        assertUnavailable();
        hosts.setFaults(Faults.NONE.withLostAnswers(1));
        assertUnavailable();
        hosts.setFaults(Faults.NONE.withDelays(0, 1_500));
        assertUnavailable();
        hosts.setFaults(Faults.NONE.withOutage(Outage.REFUSED));
        hosts.server().awaitApplied();
        assertUnavailable();
    }

    private void assertUnavailable() {
        ExecutionException thrown = assertThrows(ExecutionException.class, this::read);
        assertTrue(thrown.getCause() instanceof FailureException);
        assertEquals(new Failure.HostListUnavailable(), ((FailureException) thrown.getCause()).failure());
    }

    private HostListing read() throws Exception {
        return source.read().get(3, TimeUnit.SECONDS);
    }
}
