package org.banyanstair.external.http;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Instant;

import org.banyanstair.external.EngineRequest;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.testsupport.engine.EngineTestClient;

/** Endpoints and requests for tests of the HTTP clients. */
final class TestEndpoints {
    static final EndpointId ID = new EndpointId("runner-1");
    static final AdapterVersion ADAPTER = AdapterVersion.parse(EngineTestClient.ADAPTER);

    private TestEndpoints() {}

    static Endpoint at(NetworkAddress address) {
        return new Endpoint(
                ID,
                EndpointKind.ENGINE,
                Presence.LIVE,
                new DataCentre("ub-east"),
                new PoolId("assistant"),
                address,
                4,
                8,
                true);
    }

    /** Returns an endpoint at a port on which nothing listens. */
    static Endpoint closed() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return at(new NetworkAddress("127.0.0.1", socket.getLocalPort()));
        }
    }

    static EngineRequest request(String id, int maxTokens, long nextToken, Instant deadline) {
        byte[] body = EngineTestClient.body("p", maxTokens).getBytes();
        RequestId requestId = new RequestId(id);
        return new EngineRequest(
                requestId,
                "/v1/completions",
                body,
                ADAPTER,
                PriorityClass.STANDARD,
                deadline,
                nextToken,
                nextToken > 0);
    }
}
