package org.banyanstair.transport.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.HeldAdapter;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.LostReport;
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerBroadcast;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.peer.ReportedLimit;
import org.banyanstair.peer.ReportedRequest;
import org.banyanstair.peer.TeamUsage;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the frequent messages between hosts without reflection.
 *
 * <p>Fields may come in any order after the type, and unknown ones are skipped, so that hosts of different releases can
 * communicate. Allocates no more than the body holds, whatever its length fields claim. Not thread-safe.
 */
final class PeerMessageReader {
    private static final String TYPE_FIELD = "type";

    /** A routed message or a bundle contains messages that contain no others; more would only fill the stack. */
    private static final int MAXIMUM_DEPTH = 4;

    private final MessageUnpacker in;
    private final PeerValueReader values;
    private int depth;

    /**
     * Creates a reader.
     *
     * @param in unpacker at the start of the body
     */
    PeerMessageReader(MessageUnpacker in, int bodyLength) {
        this.in = in;
        this.values = new PeerValueReader(in, bodyLength);
    }

    /**
     * Reads a message.
     *
     * @return empty if this class does not read its type, or that of a message in it
     * @throws IOException if the body is malformed
     */
    Optional<PeerMessage> read() throws IOException {
        depth++;
        if (depth > MAXIMUM_DEPTH) {
            throw new IOException("messages nested more than " + MAXIMUM_DEPTH + " deep");
        }
        Optional<PeerMessage> message = readByType();
        depth--;
        return message;
    }

    private Optional<PeerMessage> readByType() throws IOException {
        int fields = in.unpackMapHeader() - 1;
        if (fields < 0 || !values.readString().equals(TYPE_FIELD)) {
            return Optional.empty();
        }
        return switch (values.readString()) {
            case "Hello" -> Optional.of(readHello(fields));
            case "Ping" -> Optional.of(new PeerMessage.Ping(readSequence(fields)));
            case "Pong" -> Optional.of(new PeerMessage.Pong(readSequence(fields)));
            case "HostState" -> Optional.of(readHostState(fields));
            case "Bundle" -> readBundle(fields);
            case "Routed" -> readRouted(fields);
            case "UseReport" -> Optional.of(readUseReport(fields));
            case "HeldRunner" -> Optional.of(readHeldRunner(fields));
            case "AdapterWanted" -> Optional.of(readAdapterWanted(fields));
            case "LoanRequest" -> Optional.of(readLoanRequest(fields));
            case "LoanGranted" -> Optional.of(readLoanGranted(fields));
            case "LoanRefused" -> Optional.of(readLoanRefused(fields));
            case "RecordsRequest" -> Optional.of(readRecordsRequest(fields));
            case "RecordsReply" -> Optional.of(readRecordsReply(fields));
            case "CrashReport" -> Optional.of(readCrashReport(fields));
            default -> Optional.empty();
        };
    }

    /** Reads a handshake; what it lacks is null and rejected by the receiving connection. */
    private PeerMessage readHello(int fields) throws IOException {
        int protocolVersion = 0;
        HostIdentity sender = null;
        String cluster = null;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "protocolVersion" -> {
                    protocolVersion = in.unpackInt();
                }
                case "sender" -> {
                    sender = in.tryUnpackNil() ? null : values.readIdentity();
                }
                case "cluster" -> {
                    cluster = in.tryUnpackNil() ? null : values.readString();
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.Hello(protocolVersion, sender, cluster);
    }

    private long readSequence(int fields) throws IOException {
        long sequence = 0;
        for (int field = 0; field < fields; field++) {
            if (values.readString().equals("sequence")) {
                sequence = in.unpackLong();
            } else {
                in.skipValue();
            }
        }
        return sequence;
    }

    private PeerMessage readHostState(int fields) throws IOException {
        HostAnnouncement announcement = null;
        boolean leaving = false;
        boolean reachesLog = false;
        long logEra = 0;
        boolean logEraSettled = false;
        boolean logEraRestored = false;
        long configurationOffset = 0;
        long configurationEra = 0;
        long endpointsOffset = 0;
        long endpointsEra = 0;
        long lostEnd = 0;
        long lostEra = 0;
        LoadCounts loads = LoadCounts.NONE;
        PartEvidence parts = PartEvidence.NONE;
        List<ReportedRequest> requests = List.of();
        List<ReportedLimit> limits = List.of();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "announcement" -> {
                    announcement = values.readAnnouncement();
                }
                case "leaving" -> {
                    leaving = in.unpackBoolean();
                }
                case "reachesLog" -> {
                    reachesLog = in.unpackBoolean();
                }
                case "logEra" -> {
                    logEra = in.unpackLong();
                }
                case "logEraSettled" -> {
                    logEraSettled = in.unpackBoolean();
                }
                case "logEraRestored" -> {
                    logEraRestored = in.unpackBoolean();
                }
                case "configurationOffset" -> {
                    configurationOffset = in.unpackLong();
                }
                case "configurationEra" -> {
                    configurationEra = in.unpackLong();
                }
                case "endpointsOffset" -> {
                    endpointsOffset = in.unpackLong();
                }
                case "endpointsEra" -> {
                    endpointsEra = in.unpackLong();
                }
                case "lostEnd" -> {
                    lostEnd = in.unpackLong();
                }
                case "lostEra" -> {
                    lostEra = in.unpackLong();
                }
                case "loads" -> {
                    loads = values.readLoadCounts();
                }
                case "parts" -> {
                    parts = values.readPartEvidence();
                }
                case "requests" -> {
                    requests = values.readList(values::readReportedRequest);
                }
                case "limits" -> {
                    limits = values.readList(values::readReportedLimit);
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.HostState(
                PeerValueReader.required(announcement),
                leaving,
                reachesLog,
                logEra,
                logEraSettled,
                logEraRestored,
                configurationOffset,
                configurationEra,
                endpointsOffset,
                endpointsEra,
                lostEnd,
                lostEra,
                loads,
                parts,
                requests,
                limits);
    }

    private Optional<PeerMessage> readBundle(int fields) throws IOException {
        List<PeerBroadcast> broadcasts = new ArrayList<>();
        boolean passOn = false;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "news" -> {
                    int count = in.unpackArrayHeader();
                    for (int index = 0; index < count; index++) {
                        Optional<PeerBroadcast> broadcast = readBroadcast();
                        if (broadcast.isEmpty()) {
                            return Optional.empty();
                        }
                        broadcasts.add(broadcast.get());
                    }
                }
                case "passOn" -> {
                    passOn = in.unpackBoolean();
                }
                default -> in.skipValue();
            }
        }
        return Optional.of(new PeerMessage.Bundle(broadcasts, passOn));
    }

    private Optional<PeerBroadcast> readBroadcast() throws IOException {
        HostIdentity origin = null;
        long sequence = 0;
        List<PeerMessage> messages = new ArrayList<>();
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "origin" -> {
                    origin = values.readIdentity();
                }
                case "sequence" -> {
                    sequence = in.unpackLong();
                }
                case "messages" -> {
                    int count = in.unpackArrayHeader();
                    for (int index = 0; index < count; index++) {
                        Optional<PeerMessage> message = read();
                        if (message.isEmpty()) {
                            return Optional.empty();
                        }
                        messages.add(message.get());
                    }
                }
                default -> in.skipValue();
            }
        }
        return Optional.of(new PeerBroadcast(PeerValueReader.required(origin), sequence, messages));
    }

    private Optional<PeerMessage> readRouted(int fields) throws IOException {
        HostIdentity origin = null;
        String target = null;
        int hops = 0;
        PeerMessage message = null;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "origin" -> {
                    origin = values.readIdentity();
                }
                case "target" -> {
                    target = values.readString();
                }
                case "hops" -> {
                    hops = in.unpackInt();
                }
                case "message" -> {
                    Optional<PeerMessage> routed = read();
                    if (routed.isEmpty()) {
                        return Optional.empty();
                    }
                    message = routed.get();
                }
                default -> in.skipValue();
            }
        }
        return Optional.of(new PeerMessage.Routed(
                PeerValueReader.required(origin),
                new HostId(PeerValueReader.required(target)),
                hops,
                PeerValueReader.required(message)));
    }

    private PeerMessage readUseReport(int fields) throws IOException {
        List<EndpointUsage> uses = List.of();
        boolean complete = false;
        List<TeamUsage> teams = List.of();
        List<BegunStreams> streams = List.of();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "uses" -> {
                    uses = values.readList(values::readUsage);
                }
                case "complete" -> {
                    complete = in.unpackBoolean();
                }
                case "teams" -> {
                    teams = values.readList(values::readTeamUsage);
                }
                case "streams" -> {
                    streams = values.readList(values::readBegunStreams);
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.UseReport(uses, complete, teams, streams);
    }

    private PeerMessage readHeldRunner(int fields) throws IOException {
        String endpoint = null;
        long started = 0;
        NewsOrder order = null;
        List<String> baseModels = List.of();
        List<HeldAdapter> adapters = List.of();
        List<AdapterName> waitingLoads = List.of();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "endpoint" -> {
                    endpoint = values.readString();
                }
                case "started" -> {
                    started = in.unpackLong();
                }
                case "order" -> {
                    order = values.readOrder();
                }
                case "baseModels" -> {
                    baseModels = values.readList(values::readString);
                }
                case "adapters" -> {
                    adapters = values.readList(values::readHeldAdapter);
                }
                case "waitingLoads" -> {
                    waitingLoads = values.readList(values::readAdapterName);
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.HeldRunner(
                new EndpointId(PeerValueReader.required(endpoint)),
                started,
                PeerValueReader.required(order),
                new HashSet<>(baseModels),
                adapters,
                waitingLoads);
    }

    private PeerMessage readAdapterWanted(int fields) throws IOException {
        String endpoint = null;
        AdapterName adapter = null;
        long dueInMilliseconds = 0;
        long remainingMilliseconds = 0;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "endpoint" -> {
                    endpoint = values.readString();
                }
                case "adapter" -> {
                    adapter = values.readAdapterName();
                }
                case "dueInMilliseconds" -> {
                    dueInMilliseconds = in.unpackLong();
                }
                case "remainingMilliseconds" -> {
                    remainingMilliseconds = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.AdapterWanted(
                new EndpointId(PeerValueReader.required(endpoint)),
                PeerValueReader.required(adapter),
                dueInMilliseconds,
                remainingMilliseconds);
    }

    private PeerMessage readLoanRequest(int fields) throws IOException {
        long id = 0;
        List<String> endpoints = List.of();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "id" -> {
                    id = in.unpackLong();
                }
                case "endpoints" -> {
                    endpoints = values.readList(values::readString);
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.LoanRequest(
                id, endpoints.stream().map(EndpointId::new).toList());
    }

    private PeerMessage readLoanGranted(int fields) throws IOException {
        long id = 0;
        String endpoint = null;
        long started = 0;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "id" -> {
                    id = in.unpackLong();
                }
                case "endpoint" -> {
                    endpoint = values.readString();
                }
                case "started" -> {
                    started = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.LoanGranted(id, new EndpointId(PeerValueReader.required(endpoint)), started);
    }

    private PeerMessage readLoanRefused(int fields) throws IOException {
        long id = 0;
        long waitMilliseconds = 0;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "id" -> {
                    id = in.unpackLong();
                }
                case "waitMilliseconds" -> {
                    waitMilliseconds = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.LoanRefused(id, waitMilliseconds);
    }

    private PeerMessage readRecordsRequest(int fields) throws IOException {
        Topic topic = null;
        long offset = 0;
        long era = 0;
        long askedAtMilliseconds = 0;
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "topic" -> {
                    topic = Topic.valueOf(values.readString());
                }
                case "offset" -> {
                    offset = in.unpackLong();
                }
                case "era" -> {
                    era = in.unpackLong();
                }
                case "askedAtMilliseconds" -> {
                    askedAtMilliseconds = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.RecordsRequest(PeerValueReader.required(topic), offset, era, askedAtMilliseconds);
    }

    private PeerMessage readRecordsReply(int fields) throws IOException {
        Topic topic = null;
        long offset = 0;
        long era = 0;
        List<RelayedRecord> records = List.of();
        long end = 0;
        Optional<Long> outageAgeMilliseconds = Optional.empty();
        Optional<Long> askedAtMilliseconds = Optional.empty();
        long ageMilliseconds = 0;
        Optional<LostReport> lost = Optional.empty();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "topic" -> {
                    topic = Topic.valueOf(values.readString());
                }
                case "offset" -> {
                    offset = in.unpackLong();
                }
                case "era" -> {
                    era = in.unpackLong();
                }
                case "records" -> {
                    records = values.readList(values::readRelayedRecord);
                }
                case "end" -> {
                    end = in.unpackLong();
                }
                case "outageAgeMilliseconds" -> {
                    outageAgeMilliseconds = values.readOptionalLong();
                }
                case "askedAtMilliseconds" -> {
                    askedAtMilliseconds = values.readOptionalLong();
                }
                case "ageMilliseconds" -> {
                    ageMilliseconds = in.unpackLong();
                }
                case "lost" -> {
                    lost = in.tryUnpackNil() ? Optional.empty() : Optional.of(values.readLostReport());
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.RecordsReply(
                PeerValueReader.required(topic),
                offset,
                era,
                records,
                end,
                outageAgeMilliseconds,
                askedAtMilliseconds,
                ageMilliseconds,
                lost);
    }

    private PeerMessage readCrashReport(int fields) throws IOException {
        long fingerprint = 0;
        String endpoint = null;
        long started = 0;
        List<Long> parts = List.of();
        long ageMilliseconds = 0;
        List<Long> widerFingerprints = List.of();
        for (int field = 0; field < fields; field++) {
            switch (values.readString()) {
                case "fingerprint" -> {
                    fingerprint = in.unpackLong();
                }
                case "endpoint" -> {
                    endpoint = values.readString();
                }
                case "started" -> {
                    started = in.unpackLong();
                }
                case "parts" -> {
                    parts = values.readList(in::unpackLong);
                }
                case "ageMilliseconds" -> {
                    ageMilliseconds = in.unpackLong();
                }
                case "widerFingerprints" -> {
                    widerFingerprints = values.readList(in::unpackLong);
                }
                default -> in.skipValue();
            }
        }
        return new PeerMessage.CrashReport(
                fingerprint,
                new EndpointId(PeerValueReader.required(endpoint)),
                started,
                parts,
                ageMilliseconds,
                widerFingerprints);
    }
}
