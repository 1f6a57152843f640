package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.forwarder.EndpointProtocol;
import org.banyanstair.forwarder.ProcessIdentity;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.NetworkAddress;

/**
 * Sends a request only on a connection that leads to a certain process of an endpoint.
 *
 * <p>A connection leads to one process for as long as it lives, so each is asked at most once. Used on the event loop
 * thread only.
 */
final class ProcessCheckedCall {
    /** Time from the question to its whole answer. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    /** Connections that may end before their answer, as idle ones do when their process is replaced. */
    private static final int MAXIMUM_CHECKS = 3;

    private static final int MAXIMUM_BODY_BYTES = 1 << 20;

    /**
     * The process that may run a request.
     *
     * @param started its start, in milliseconds since 1970
     */
    record Target(EndpointId endpoint, NetworkAddress address, long started) {}

    private final EndpointConnectionPool connections;
    private final EndpointProtocol protocol;
    private final Target target;
    private final Supplier<FullHttpRequest> request;
    private final Set<EndpointConnection> used;
    private final Supplier<Consumer<Optional<FullHttpResponse>>> measurement;
    private final EndpointCall call;
    private int checks;

    /**
     * Creates a call that has not been sent.
     *
     * @param request builds the request when it is sent
     * @param listener receives the response, or that another process has the connection
     * @param used connections of earlier attempts of the request, which are not used again; the one of this is added
     * @param measurement begins to measure a question, and receives its answer, empty if there is none
     */
    ProcessCheckedCall(
            EndpointConnectionPool connections,
            EndpointProtocol protocol,
            Target target,
            Supplier<FullHttpRequest> request,
            ResponseListener listener,
            Set<EndpointConnection> used,
            Supplier<Consumer<Optional<FullHttpResponse>>> measurement) {
        this.connections = connections;
        this.protocol = protocol;
        this.target = target;
        this.request = request;
        this.used = used;
        this.measurement = measurement;
        this.call = new EndpointCall(listener);
    }

    /** Sends the request as soon as a connection to the process is known; returns the call, which may be cancelled. */
    EndpointCall send() {
        Optional<EndpointConnection> idle = connections.takeIdle(target.address(), target.started(), used);
        if (idle.filter(connection -> connection.leadsTo(target.started())).isPresent()) {
            start(idle.get());
        } else {
            check(idle);
        }
        return call;
    }

    private void check(Optional<EndpointConnection> idle) {
        checks++;
        Check check = new Check(idle.isPresent());
        call.await(check.question);
        if (idle.isPresent()) {
            check.ask(idle.get());
        } else {
            connections.open(target.address(), check.question, check::ask, () -> {});
        }
    }

    private void checkAnotherConnection() {
        if (checks < MAXIMUM_CHECKS) {
            check(connections.takeIdle(target.address(), target.started(), used));
        } else {
            call.connectFailed(false);
        }
    }

    private void start(EndpointConnection connection) {
        used.add(connection);
        call.useCheckedConnection();
        connection.start(call, request.get());
    }

    private void startAfterCheck(EndpointConnection connection) {
        connection.confirmProcess(target.started());
        if (!connections.take(connection)) {
            checkAnotherConnection();
        } else if (call.listener().awaitsResponse()) {
            start(connection);
        } else {
            connections.release(connection);
            call.expire();
        }
    }

    /** The question which process has a connection. */
    private final class Check implements ResponseListener {
        private final EndpointCall question;
        private final boolean connectionReused;
        private final ByteBuf body = Unpooled.buffer();
        private final ConnectionMemoryBudget.Account memory = connections
                .memoryBudget()
                .open(ConnectionMemoryBudget.Kind.RESPONSE, () -> reject(ResponseFault.MEMORY));
        private final Consumer<Optional<FullHttpResponse>> measured = measurement.get();
        private Optional<EndpointConnection> connection = Optional.empty();
        private Optional<HttpResponse> head = Optional.empty();
        private Optional<ScheduledFuture<?>> timer = Optional.empty();
        private Optional<ProcessIdentity> identity = Optional.empty();
        private boolean foreign;

        Check(boolean connectionReused) {
            this.connectionReused = connectionReused;
            this.question = new EndpointCall(this, connectionReused, false);
        }

        private void ask(EndpointConnection chosen) {
            connection = Optional.of(chosen);
            timer = Optional.of(
                    connections.loop().schedule(this::onTimeout, ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            chosen.markProcessChecked();
            chosen.start(question, protocol.identityRequest(target.endpoint(), target.address()));
        }

        private void onTimeout() {
            boolean cancelled = question.isFinished();
            question.cancel();
            end(Optional.empty());
            if (!cancelled) {
                call.connectFailed(false);
            }
        }

        private void end(Optional<FullHttpResponse> response) {
            timer.ifPresent(future -> future.cancel(false));
            memory.set(0);
            measured.accept(response);
        }

        @Override
        public void onHead(HttpResponse response) {
            foreign = protocol.identifiesRequest(response);
            head = Optional.of(response);
        }

        @Override
        public void onContent(ByteBuf bytes) {
            if (foreign) {
                return;
            }
            if (body.readableBytes() + bytes.readableBytes() > MAXIMUM_BODY_BYTES) {
                reject(ResponseFault.LONG_BODY);
            } else {
                body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
                memory.progressed();
                memory.set(body.readableBytes());
            }
        }

        private void reject(ResponseFault fault) {
            if (!question.isFinished()) {
                connections.reportRejected(target.address(), fault);
                question.cancel();
                onRejected(fault);
            }
        }

        @Override
        public boolean isForeign() {
            return foreign;
        }

        @Override
        public boolean expectsBody() {
            return !foreign;
        }

        /** A copy of the answer is recognized later; a copy of another one would be taken for the next response. */
        @Override
        public boolean identifiesRequest() {
            return identity() == ProcessIdentity.EXPECTED || identity() == ProcessIdentity.UNTOLD;
        }

        private ProcessIdentity identity() {
            if (identity.isEmpty()) {
                identity = Optional.of(protocol.identifyProcess(response(), target.started()));
            }
            return identity.get();
        }

        private FullHttpResponse response() {
            HttpResponse received = head.orElseThrow();
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, received.status(), body.duplicate());
            response.headers().set(received.headers());
            return response;
        }

        @Override
        public void onComplete() {
            end(Optional.of(response()));
            if (call.isFinished()) {
                return;
            }
            switch (identity()) {
                case EXPECTED, UNTOLD -> startAfterCheck(connection.orElseThrow());
                case OTHER -> call.refuseProcess();
                default -> call.connectFailed(false);
            }
        }

        @Override
        public void onFailure(boolean mayHaveRun) {
            end(Optional.empty());
            if (call.isFinished()) {
                return;
            }
            if (connectionReused) {
                checkAnotherConnection();
            } else {
                call.connectFailed(false);
            }
        }

        @Override
        public void onConnectionRefused() {
            end(Optional.empty());
            if (!call.isFinished()) {
                call.connectFailed(true);
            }
        }

        @Override
        public void onRejected(ResponseFault fault) {
            end(Optional.empty());
            call.connectFailed(false);
        }

        @Override
        public boolean awaitsResponse() {
            return call.listener().awaitsResponse();
        }

        @Override
        public void onExpired() {
            end(Optional.empty());
            call.expire();
        }
    }
}
