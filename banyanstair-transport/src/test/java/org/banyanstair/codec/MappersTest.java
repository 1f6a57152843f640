package org.banyanstair.codec;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyanstair.configuration.AdapterDeclaration;
import org.banyanstair.configuration.AdapterKey;
import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Objective;
import org.banyanstair.configuration.Operation;
import org.banyanstair.configuration.Route;
import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.configuration.ServiceKind;
import org.banyanstair.errors.Failure;
import org.banyanstair.idempotency.AttemptId;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.model.ServiceId;
import org.banyanstair.ownership.Ownership;
import org.banyanstair.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against records that cannot be deserialized after they were sent to another host or written to the log. */
class MappersTest {
    static final List<ObjectMapper> MAPPERS = List.of(Mappers.JSON, Mappers.MESSAGE_PACK);

    @ParameterizedTest
    @FieldSource("MAPPERS")
    void permitRequestSurvives(ObjectMapper mapper) throws Exception {
        PeerMessage message = new PeerMessage.PermitRequest(
                new RequestId("r1"),
                1,
                new PoolId("assistant"),
                AdapterVersion.parse("assistant/tender@v2"),
                new CallerId("clerk"),
                10,
                20,
                PriorityClass.PREMIUM,
                Instant.parse("2026-12-04T10:00:00.123456789Z"),
                42,
                new Fingerprint("ab"),
                List.of(1L, -2L),
                Set.of(new EndpointId("runner-1")));
        assertEquals(message, mapper.readValue(mapper.writeValueAsBytes(message), PeerMessage.class));
    }

    @ParameterizedTest
    @FieldSource("MAPPERS")
    void refusalAndMapKeysSurvive(ObjectMapper mapper) throws Exception {
        PeerMessage refusal = new PeerMessage.PermitRefusal(
                new RequestId("r1"), 1, new PoolId("p"), 7, new Failure.QueueFull(new PoolId("p"), 5));
        assertEquals(refusal, mapper.readValue(mapper.writeValueAsBytes(refusal), PeerMessage.class));
        PeerMessage reply = new PeerMessage.ConfigurationReply(
                CheckpointPart.of(Configuration.INITIAL, 3).get(0),
                Map.of(new PoolId("p"), new Ownership(new HostIdentity(new HostId("entry-1"), 9), 12)));
        assertEquals(reply, mapper.readValue(mapper.writeValueAsBytes(reply), PeerMessage.class));
    }

    @ParameterizedTest
    @FieldSource("MAPPERS")
    void configurationChangeSurvives(ObjectMapper mapper) throws Exception {
        ServiceDeclaration service = new ServiceDeclaration(
                new ServiceId("desk"),
                ServiceKind.PLAIN,
                new PoolId("desk"),
                Set.of(new CallerId("clerk")),
                List.of(new Route("GET", "/stock", true)),
                Objective.DEFAULT,
                10,
                10);
        AdapterDeclaration adapter = new AdapterDeclaration(AdapterKey.parse("assistant/tender"), List.of("v1"), "v1");
        ConfigurationChange change = new ConfigurationChange(
                "c1", 4, "operator", List.of(new Operation.PutService(service), new Operation.PutAdapter(adapter)));
        assertEquals(change, mapper.readValue(mapper.writeValueAsBytes(change), ConfigurationChange.class));
    }

    @ParameterizedTest
    @FieldSource("MAPPERS")
    void serviceCallSurvives(ObjectMapper mapper) throws Exception {
        org.banyanstair.external.ServiceCall call = new org.banyanstair.external.ServiceCall(
                new RequestId("r"),
                "POST",
                "/orders",
                Optional.of("application/json"),
                new byte[] {1, 2},
                Instant.EPOCH);
        PeerMessage.CallSubmit submit = new PeerMessage.CallSubmit(
                new AttemptId("a"),
                new org.banyanstair.idempotency.CallKey(new CallerId("clerk"), new ServiceId("desk"), "k"),
                "digest",
                new PoolId("desk"),
                call,
                Set.of(),
                Optional.of(new HostIdentity(new HostId("entry-1"), 7)));
        PeerMessage.CallSubmit read =
                (PeerMessage.CallSubmit) mapper.readValue(mapper.writeValueAsBytes(submit), PeerMessage.class);
        assertEquals(submit.key(), read.key());
        assertEquals(submit.writer(), read.writer());
        assertEquals(2, read.call().body().length);
        assertEquals(call.contentType(), read.call().contentType());
    }
}
