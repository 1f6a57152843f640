package org.banyanstair.transport.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.HeldAdapter;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.LostReport;
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.RefusedPart;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.peer.ReportedCrash;
import org.banyanstair.peer.ReportedLimit;
import org.banyanstair.peer.ReportedRequest;
import org.banyanstair.peer.TeamUsage;
import org.banyanstair.teams.TeamName;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the values that messages between hosts consist of.
 *
 * <p>Not thread-safe. All methods throw {@link IOException} or a runtime exception if the body is malformed.
 */
final class PeerValueReader {
    private final MessageUnpacker in;
    private final int bodyLength;

    PeerValueReader(MessageUnpacker in, int bodyLength) {
        this.in = in;
        this.bodyLength = bodyLength;
    }

    @FunctionalInterface
    interface ElementReader<T> {
        T read() throws IOException;
    }

    HostAnnouncement readAnnouncement() throws IOException {
        String host = null;
        long incarnation = 0;
        String callers = null;
        String peers = null;
        String dataCentre = null;
        double cores = 0;
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (readString()) {
                case "host" -> {
                    host = readString();
                }
                case "incarnation" -> {
                    incarnation = in.unpackLong();
                }
                case "callers" -> {
                    callers = readString();
                }
                case "peers" -> {
                    peers = readString();
                }
                case "dataCentre" -> {
                    dataCentre = readString();
                }
                case "cores" -> {
                    cores = in.unpackDouble();
                }
                default -> in.skipValue();
            }
        }
        return new HostAnnouncement(
                new HostId(required(host)),
                incarnation,
                NetworkAddress.parse(callers),
                NetworkAddress.parse(peers),
                required(dataCentre),
                cores);
    }

    HostIdentity readIdentity() throws IOException {
        String host = null;
        long incarnation = 0;
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (readString()) {
                case "host" -> {
                    host = readString();
                }
                case "incarnation" -> {
                    incarnation = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new HostIdentity(new HostId(required(host)), incarnation);
    }

    LostReport readLostReport() throws IOException {
        long era = 0;
        long end = 0;
        List<RelayedRecord> records = List.of();
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (readString()) {
                case "era" -> {
                    era = in.unpackLong();
                }
                case "end" -> {
                    end = in.unpackLong();
                }
                case "records" -> {
                    records = readList(this::readRelayedRecord);
                }
                default -> in.skipValue();
            }
        }
        return new LostReport(era, end, records);
    }

    RelayedRecord readRelayedRecord() throws IOException {
        String key = null;
        byte[] value = null;
        boolean removed = false;
        long offset = 0;
        int fields = in.unpackMapHeader();
        for (int field = 0; field < fields; field++) {
            switch (readString()) {
                case "key" -> {
                    key = readString();
                }
                case "value" -> {
                    value = readPayload(in.unpackBinaryHeader());
                }
                case "removed" -> {
                    removed = in.unpackBoolean();
                }
                case "offset" -> {
                    offset = in.unpackLong();
                }
                default -> in.skipValue();
            }
        }
        return new RelayedRecord(required(key), required(value), removed, offset);
    }

    EndpointUsage readUsage() throws IOException {
        int surplus = readArrayHeader(6);
        EndpointUsage usage = new EndpointUsage(
                new EndpointId(readString()),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                readList(this::readAdapterName),
                readList(in::unpackLong));
        in.skipValue(surplus);
        return usage;
    }

    AdapterName readAdapterName() throws IOException {
        int surplus = readArrayHeader(2);
        AdapterName name = new AdapterName(readString(), readString());
        in.skipValue(surplus);
        return name;
    }

    HeldAdapter readHeldAdapter() throws IOException {
        int surplus = readArrayHeader(3);
        HeldAdapter held = new HeldAdapter(readAdapterName(), in.unpackLong(), in.unpackLong());
        in.skipValue(surplus);
        return held;
    }

    NewsOrder readOrder() throws IOException {
        int surplus = readArrayHeader(3);
        NewsOrder order = new NewsOrder(in.unpackLong(), in.unpackLong(), in.unpackLong());
        in.skipValue(surplus);
        return order;
    }

    LoadCounts readLoadCounts() throws IOException {
        int surplus = readArrayHeader(2);
        LoadCounts counts = new LoadCounts(in.unpackLong(), in.unpackLong());
        in.skipValue(surplus);
        return counts;
    }

    PartEvidence readPartEvidence() throws IOException {
        int surplus = readArrayHeader(2);
        PartEvidence evidence = new PartEvidence(readList(this::readObservedPart), readList(this::readRefusedPart));
        in.skipValue(surplus);
        return evidence;
    }

    private ObservedPart readObservedPart() throws IOException {
        int surplus = readArrayHeader(2);
        ObservedPart observed = new ObservedPart(in.unpackLong(), in.unpackLong());
        in.skipValue(surplus);
        return observed;
    }

    private RefusedPart readRefusedPart() throws IOException {
        int surplus = readArrayHeader(3);
        RefusedPart refused = new RefusedPart(in.unpackLong(), in.unpackLong(), in.unpackLong());
        in.skipValue(surplus);
        return refused;
    }

    ReportedRequest readReportedRequest() throws IOException {
        int surplus = readArrayHeader(3);
        ReportedRequest request =
                new ReportedRequest(in.unpackLong(), in.unpackBoolean(), readList(this::readReportedCrash));
        in.skipValue(surplus);
        return request;
    }

    ReportedLimit readReportedLimit() throws IOException {
        int surplus = readArrayHeader(5);
        ReportedLimit limit = new ReportedLimit(
                new EndpointId(readString()),
                in.unpackLong(),
                in.tryUnpackNil() ? OptionalDouble.empty() : OptionalDouble.of(in.unpackDouble()),
                in.unpackLong(),
                in.unpackDouble(),
                surplus > 0 && in.unpackBoolean());
        in.skipValue(Math.max(0, surplus - 1));
        return limit;
    }

    TeamUsage readTeamUsage() throws IOException {
        int surplus = readArrayHeader(6);
        TeamUsage usage = new TeamUsage(
                new TeamName(readString()),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.tryUnpackNil() ? OptionalDouble.empty() : OptionalDouble.of(in.unpackDouble()));
        in.skipValue(surplus);
        return usage;
    }

    BegunStreams readBegunStreams() throws IOException {
        int surplus = readArrayHeader(4);
        BegunStreams streams =
                new BegunStreams(readString(), readString(), readList(this::readString), in.unpackLong());
        in.skipValue(surplus);
        return streams;
    }

    private ReportedCrash readReportedCrash() throws IOException {
        int surplus = readArrayHeader(4);
        ReportedCrash crash =
                new ReportedCrash(new EndpointId(readString()), in.unpackLong(), in.unpackLong(), in.unpackBoolean());
        in.skipValue(surplus);
        return crash;
    }

    /** Reads the header of an array with at least the given elements; returns the number of further ones. */
    private int readArrayHeader(int elements) throws IOException {
        int length = in.unpackArrayHeader();
        if (length < elements) {
            throw new IOException("array too short: got " + length + " of " + elements + " elements");
        }
        return length - elements;
    }

    <T> List<T> readList(ElementReader<T> reader) throws IOException {
        int length = in.unpackArrayHeader();
        List<T> elements = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            elements.add(reader.read());
        }
        return elements;
    }

    Optional<Long> readOptionalLong() throws IOException {
        return in.tryUnpackNil() ? Optional.empty() : Optional.of(in.unpackLong());
    }

    String readString() throws IOException {
        return new String(readPayload(in.unpackRawStringHeader()), StandardCharsets.UTF_8);
    }

    private byte[] readPayload(int length) throws IOException {
        if (length > bodyLength - in.getTotalReadBytes()) {
            throw new IOException("value of " + length + " bytes exceeds the body of " + bodyLength);
        }
        return in.readPayload(length);
    }

    static <T> T required(T value) throws IOException {
        if (value == null) {
            throw new IOException("required field is missing");
        }
        return value;
    }
}
