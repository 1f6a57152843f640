package org.banyanstair.transport.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Optional;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.BegunStreams;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.HeldAdapter;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.LostReport;
import org.banyanstair.peer.NewsOrder;
import org.banyanstair.peer.ObservedPart;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerBroadcast;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RefusedPart;
import org.banyanstair.peer.RelayedRecord;
import org.banyanstair.peer.ReportedCrash;
import org.banyanstair.peer.ReportedLimit;
import org.banyanstair.peer.ReportedRequest;
import org.banyanstair.peer.TeamUsage;
import org.msgpack.core.MessagePacker;

/**
 * Writes the frequent messages between hosts without reflection, in the form in which the mapper writes them.
 *
 * <p>Not thread-safe.
 */
final class PeerMessageWriter {
    private final MessagePacker out;

    PeerMessageWriter(MessagePacker out) {
        this.out = out;
    }

    @FunctionalInterface
    private interface ElementWriter<T> {
        void write(T element) throws IOException;
    }

    /** Returns whether this class writes a message, and all messages in it. */
    static boolean supports(PeerMessage message) {
        if (message instanceof PeerMessage.Bundle bundle) {
            return bundle.news().stream()
                    .allMatch(broadcast -> broadcast.messages().stream().allMatch(PeerMessageWriter::supports));
        }
        if (message instanceof PeerMessage.Routed routed) {
            return supports(routed.message());
        }
        if (message instanceof PeerMessage.Hello hello) {
            return hello.sender() != null && hello.cluster() != null;
        }
        return message instanceof PeerMessage.Ping
                || message instanceof PeerMessage.Pong
                || message instanceof PeerMessage.HostState
                || message instanceof PeerMessage.UseReport
                || message instanceof PeerMessage.HeldRunner
                || message instanceof PeerMessage.AdapterWanted
                || message instanceof PeerMessage.LoanRequest
                || message instanceof PeerMessage.LoanGranted
                || message instanceof PeerMessage.LoanRefused
                || message instanceof PeerMessage.RecordsRequest
                || message instanceof PeerMessage.RecordsReply
                || message instanceof PeerMessage.CrashReport;
    }

    /**
     * Writes a message.
     *
     * @throws IllegalArgumentException if the message is not supported
     */
    void write(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Hello hello) {
            begin("Hello", 3);
            field("protocolVersion", hello.protocolVersion());
            out.packString("sender");
            write(hello.sender());
            field("cluster", hello.cluster());
        } else if (message instanceof PeerMessage.Ping ping) {
            begin("Ping", 1);
            field("sequence", ping.sequence());
        } else if (message instanceof PeerMessage.Pong pong) {
            begin("Pong", 1);
            field("sequence", pong.sequence());
        } else if (message instanceof PeerMessage.HostState state) {
            begin(
                    "HostState",
                    9
                            + fieldsUnlessZero(state.logEra())
                            + (state.logEraSettled() ? 1 : 0)
                            + (state.logEraRestored() ? 1 : 0)
                            + fieldsUnlessZero(state.configurationEra())
                            + fieldsUnlessZero(state.endpointsEra())
                            + fieldsUnlessZero(state.lostEnd())
                            + fieldsUnlessZero(state.lostEra()));
            out.packString("announcement");
            write(state.announcement());
            field("leaving", state.leaving());
            field("reachesLog", state.reachesLog());
            fieldUnlessZero("logEra", state.logEra());
            if (state.logEraSettled()) {
                field("logEraSettled", true);
            }
            if (state.logEraRestored()) {
                field("logEraRestored", true);
            }
            field("configurationOffset", state.configurationOffset());
            fieldUnlessZero("configurationEra", state.configurationEra());
            field("endpointsOffset", state.endpointsOffset());
            fieldUnlessZero("endpointsEra", state.endpointsEra());
            fieldUnlessZero("lostEnd", state.lostEnd());
            fieldUnlessZero("lostEra", state.lostEra());
            out.packString("loads");
            write(state.loads());
            out.packString("parts");
            write(state.parts());
            field("requests", state.requests(), this::write);
            field("limits", state.limits(), this::write);
        } else if (message instanceof PeerMessage.Bundle bundle) {
            begin("Bundle", 2);
            field("news", bundle.news(), this::write);
            field("passOn", bundle.passOn());
        } else if (message instanceof PeerMessage.Routed routed) {
            begin("Routed", 4);
            out.packString("origin");
            write(routed.origin());
            field("target", routed.target().value());
            field("hops", routed.hops());
            out.packString("message");
            write(routed.message());
        } else {
            writeEndpointMessage(message);
        }
    }

    private void writeEndpointMessage(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.UseReport report) {
            begin(
                    "UseReport",
                    2 + (report.teams().isEmpty() ? 0 : 1) + (report.streams().isEmpty() ? 0 : 1));
            field("uses", report.uses(), this::write);
            field("complete", report.complete());
            if (!report.teams().isEmpty()) {
                field("teams", report.teams(), this::write);
            }
            if (!report.streams().isEmpty()) {
                field("streams", report.streams(), this::write);
            }
        } else if (message instanceof PeerMessage.HeldRunner held) {
            begin("HeldRunner", 6);
            field("endpoint", held.endpoint().value());
            field("started", held.started());
            out.packString("order");
            write(held.order());
            field("baseModels", held.baseModels(), out::packString);
            field("adapters", held.adapters(), this::write);
            field("waitingLoads", held.waitingLoads(), this::write);
        } else if (message instanceof PeerMessage.AdapterWanted wanted) {
            begin("AdapterWanted", 4);
            field("endpoint", wanted.endpoint().value());
            out.packString("adapter");
            write(wanted.adapter());
            field("dueInMilliseconds", wanted.dueInMilliseconds());
            field("remainingMilliseconds", wanted.remainingMilliseconds());
        } else if (message instanceof PeerMessage.CrashReport report) {
            begin("CrashReport", 6);
            field("fingerprint", report.fingerprint());
            field("endpoint", report.endpoint().value());
            field("started", report.started());
            field("parts", report.parts(), out::packLong);
            field("ageMilliseconds", report.ageMilliseconds());
            field("widerFingerprints", report.widerFingerprints(), out::packLong);
        } else if (message instanceof PeerMessage.LoanRequest request) {
            begin("LoanRequest", 2);
            field("id", request.id());
            field("endpoints", request.endpoints(), endpoint -> out.packString(endpoint.value()));
        } else if (message instanceof PeerMessage.LoanGranted granted) {
            begin("LoanGranted", 3);
            field("id", granted.id());
            field("endpoint", granted.endpoint().value());
            field("started", granted.started());
        } else if (message instanceof PeerMessage.LoanRefused refused) {
            begin("LoanRefused", 2);
            field("id", refused.id());
            field("waitMilliseconds", refused.waitMilliseconds());
        } else {
            writeRecordsMessage(message);
        }
    }

    private void writeRecordsMessage(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.RecordsRequest request) {
            begin("RecordsRequest", 3 + fieldsUnlessZero(request.era()));
            field("topic", request.topic().name());
            field("offset", request.offset());
            fieldUnlessZero("era", request.era());
            field("askedAtMilliseconds", request.askedAtMilliseconds());
        } else if (message instanceof PeerMessage.RecordsReply reply) {
            begin(
                    "RecordsReply",
                    7 + fieldsUnlessZero(reply.era()) + (reply.lost().isPresent() ? 1 : 0));
            field("topic", reply.topic().name());
            field("offset", reply.offset());
            fieldUnlessZero("era", reply.era());
            field("records", reply.records(), this::write);
            field("end", reply.end());
            field("outageAgeMilliseconds", reply.outageAgeMilliseconds());
            field("askedAtMilliseconds", reply.askedAtMilliseconds());
            field("ageMilliseconds", reply.ageMilliseconds());
            if (reply.lost().isPresent()) {
                out.packString("lost");
                write(reply.lost().get());
            }
        } else {
            throw new IllegalArgumentException(message.getClass().getSimpleName());
        }
    }

    /** Starts a message of a type with a number of fields. */
    private void begin(String type, int fields) throws IOException {
        out.packMapHeader(fields + 1);
        field("type", type);
    }

    /** Returns the number of fields for a value that is left out if it is 0. */
    private static int fieldsUnlessZero(long value) {
        return value == 0 ? 0 : 1;
    }

    private void fieldUnlessZero(String name, long value) throws IOException {
        if (value != 0) {
            field(name, value);
        }
    }

    private void field(String name, long value) throws IOException {
        out.packString(name);
        out.packLong(value);
    }

    private void field(String name, boolean value) throws IOException {
        out.packString(name);
        out.packBoolean(value);
    }

    private void field(String name, String value) throws IOException {
        out.packString(name);
        out.packString(value);
    }

    private void field(String name, Optional<Long> value) throws IOException {
        out.packString(name);
        if (value.isPresent()) {
            out.packLong(value.get());
        } else {
            out.packNil();
        }
    }

    private <T> void field(String name, Collection<T> elements, ElementWriter<T> writer) throws IOException {
        out.packString(name);
        elements(elements, writer);
    }

    private <T> void elements(Collection<T> elements, ElementWriter<T> writer) throws IOException {
        out.packArrayHeader(elements.size());
        for (T element : elements) {
            writer.write(element);
        }
    }

    private void write(LostReport report) throws IOException {
        out.packMapHeader(3);
        field("era", report.era());
        field("end", report.end());
        field("records", report.records(), this::write);
    }

    private void write(PeerBroadcast broadcast) throws IOException {
        out.packMapHeader(3);
        out.packString("origin");
        write(broadcast.origin());
        field("sequence", broadcast.sequence());
        field("messages", broadcast.messages(), this::write);
    }

    private void write(HostIdentity identity) throws IOException {
        out.packMapHeader(2);
        field("host", identity.host().value());
        field("incarnation", identity.incarnation());
    }

    private void write(HostAnnouncement announcement) throws IOException {
        out.packMapHeader(6);
        field("host", announcement.host().value());
        field("incarnation", announcement.incarnation());
        field("callers", announcement.callers().toString());
        field("peers", announcement.peers().toString());
        field("dataCentre", announcement.dataCentre());
        out.packString("cores");
        out.packDouble(announcement.cores());
    }

    private void write(AdapterName adapter) throws IOException {
        out.packArrayHeader(2);
        out.packString(adapter.baseModel());
        out.packString(adapter.adapter());
    }

    private void write(HeldAdapter held) throws IOException {
        out.packArrayHeader(3);
        write(held.name());
        out.packLong(held.version());
        out.packLong(held.readyInMilliseconds());
    }

    private void write(NewsOrder order) throws IOException {
        out.packArrayHeader(3);
        out.packLong(order.fence());
        out.packLong(order.incarnation());
        out.packLong(order.sequence());
    }

    private void write(LoadCounts counts) throws IOException {
        out.packArrayHeader(2);
        out.packLong(counts.onTime());
        out.packLong(counts.late());
    }

    private void write(PartEvidence evidence) throws IOException {
        out.packArrayHeader(2);
        elements(evidence.observed(), this::write);
        elements(evidence.refused(), this::write);
    }

    private void write(ObservedPart observed) throws IOException {
        out.packArrayHeader(2);
        out.packLong(observed.part());
        out.packLong(observed.ageMilliseconds());
    }

    private void write(RefusedPart refused) throws IOException {
        out.packArrayHeader(3);
        out.packLong(refused.part());
        out.packLong(refused.firstCrashAgeMilliseconds());
        out.packLong(refused.remainingMilliseconds());
    }

    private void write(ReportedRequest request) throws IOException {
        out.packArrayHeader(3);
        out.packLong(request.fingerprint());
        out.packBoolean(request.exact());
        elements(request.crashes(), this::write);
    }

    private void write(ReportedCrash crash) throws IOException {
        out.packArrayHeader(4);
        out.packString(crash.endpoint().value());
        out.packLong(crash.started());
        out.packLong(crash.ageMilliseconds());
        out.packBoolean(crash.cleared());
    }

    private void write(ReportedLimit limit) throws IOException {
        out.packArrayHeader(6);
        out.packString(limit.endpoint().value());
        out.packLong(limit.started());
        if (limit.perSecond().isPresent()) {
            out.packDouble(limit.perSecond().getAsDouble());
        } else {
            out.packNil();
        }
        out.packLong(limit.ageMilliseconds());
        out.packDouble(limit.demandPerSecond());
        out.packBoolean(limit.lends());
    }

    private void write(TeamUsage usage) throws IOException {
        out.packArrayHeader(6);
        out.packString(usage.team().value());
        out.packLong(usage.admitted());
        out.packLong(usage.refunded());
        out.packLong(usage.requested());
        out.packLong(usage.largest());
        if (usage.level().isPresent()) {
            out.packDouble(usage.level().getAsDouble());
        } else {
            out.packNil();
        }
    }

    private void write(EndpointUsage usage) throws IOException {
        out.packArrayHeader(6);
        out.packString(usage.endpoint().value());
        out.packInt(usage.running());
        out.packInt(usage.waitingTokens());
        out.packInt(usage.cacheTokens());
        elements(usage.adapters(), this::write);
        elements(usage.newPrefixes(), out::packLong);
    }

    private void write(BegunStreams streams) throws IOException {
        out.packArrayHeader(4);
        out.packString(streams.service());
        out.packString(streams.version());
        elements(streams.requests(), out::packString);
        out.packLong(streams.remainingMilliseconds());
    }

    private void write(RelayedRecord entry) throws IOException {
        out.packMapHeader(4);
        field("key", entry.key());
        out.packString("value");
        out.packBinaryHeader(entry.value().length);
        out.writePayload(entry.value());
        field("removed", entry.removed());
        field("offset", entry.offset());
    }
}
