package org.banyanstair.testsupport;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.banyanstair.testsupport.hosts.HostListStandIn;
import org.banyanstair.testsupport.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against stand-ins that accept malformed requests or change their state on a rejected one. */
class MalformedRequestTest {
    private static final String HOST = "{\"id\":\"e1\",\"presence\":\"LIVE\",\"dataCentre\":\"ub-east\","
            + "\"peerAddress\":\"127.0.0.1:1\",\"callerAddress\":\"127.0.0.1:2\","
            + "\"operatorAddress\":\"127.0.0.1:3\"}";

    private final HttpClient client = HttpClient.newHttpClient();
    private final LogServiceStandIn log = new LogServiceStandIn(0, Duration.ofHours(1), 400);
    private final HostListStandIn hosts = new HostListStandIn(0, Duration.ZERO);

    @AfterEach
    void stop() {
        log.stop();
        hosts.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST | /streams/s/records | {}",
                "POST | /streams/s/records | {\"records\":[]}",
                "POST | /streams/s/records | {\"records\":[null]}",
                "POST | /streams/s/records | {\"records\":[\"*\"]}",
                "POST | /streams/s/records | null",
                "GET | /streams/s/records?from=0 | ''",
                "GET | /streams/s/records?from=-1&limit=1 | ''",
                "GET | /streams/s/records?from=x&limit=1 | ''",
                "GET | /streams/s/records?from=0&limit=0 | ''",
                "GET | /streams/s/records?from=0&limit=1&waitUntil=soon | ''",
                "PUT | /faults | null",
                "PUT | /faults | {\"retentionSeconds\":0}",
                "PUT | /faults | {\"shared\":{\"outage\":\"REFUSED\"}}"
            })
    void logServiceRefuses(String method, String path, String body) throws Exception {
        log.start();
        assertEquals(400, send(log.server().address() + path, method, body).statusCode());
        assertEquals(0, log.counters().get("appends"));
    }

    @Test
    void hostListTakesOnlyCompleteEntriesOfTheirOwnId() throws Exception {
        String base = hosts.start().toString();
        assertEquals(200, send(base + "/hosts/e1", "PUT", HOST).statusCode());
        assertEquals(400, send(base + "/hosts/e2", "PUT", HOST).statusCode());
        assertEquals(400, send(base + "/hosts/e1", "PUT", "{\"id\":\"e1\"}").statusCode());
        assertEquals(400, send(base + "/endpoints/e1", "PUT", HOST).statusCode());
        assertEquals(404, send(base + "/hosts/e2", "DELETE", "").statusCode());
        assertEquals(
                "{\"version\":1,\"hosts\":[" + HOST + "],\"endpoints\":[]}",
                send(base + "/hosts", "GET", "").body());
        assertEquals(200, send(base + "/hosts/e1", "DELETE", "").statusCode());
        assertEquals(2, hosts.visible().version());
        assertEquals(0, hosts.visible().hosts().size());
    }

    private HttpResponse<String> send(String address, String method, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .timeout(Duration.ofSeconds(5))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
