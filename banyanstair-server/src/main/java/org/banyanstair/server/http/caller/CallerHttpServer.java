package org.banyanstair.server.http.caller;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.ServiceId;
import org.banyanstair.server.http.BearerAuthenticator;
import org.banyanstair.server.http.Exchange;
import org.banyanstair.server.http.HttpListener;
import org.banyanstair.server.http.HttpListenerOptions;
import org.banyanstair.server.http.metrics.RequestRecorder;
import org.banyanstair.server.service.CallerService;
import org.banyanstair.server.service.EntryAddresses;
import org.tinylog.Logger;

/**
 * HTTP interface for callers.
 *
 * <p>Calls the methods of the {@link CallerService} on event loops, so that they must not block.
 */
public final class CallerHttpServer {
    private final CallerService service;
    private final RequestRecorder recorder;
    private final BearerAuthenticator<CallerId> keys;
    private final RequestIdGenerator requestIds;
    private final HttpListener listener;
    /** Writes model lists, which can be large; on an event loop, this would delay the streams of that loop. */
    private final ExecutorService modelListExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "model-list");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates the server.
     *
     * @param identity identity of this host
     * @param options address and limits
     * @param callerKeys bearer keys of the callers
     * @param service handles the requests
     * @param recorder records ended requests
     * @param deadlinePolicy limits of request deadlines
     */
    public CallerHttpServer(
            HostIdentity identity,
            HttpListenerOptions options,
            CallerKeys callerKeys,
            CallerService service,
            RequestRecorder recorder,
            DeadlinePolicy deadlinePolicy) {
        this.service = service;
        this.recorder = recorder;
        keys = new BearerAuthenticator<>(callerKeys.keys());
        requestIds = new RequestIdGenerator(identity);
        listener = new HttpListener("callers", options).addHealthRoutes(service::notReadyReason);
        recorder.metrics().registerInFlightGauge(listener::inFlight);
        GenerationRoute generation = new GenerationRoute(service, deadlinePolicy);
        PlainCallRoute plainCall = new PlainCallRoute(service, deadlinePolicy);
        ModelsRoute models = new ModelsRoute(service, modelListExecutor);
        listener.route("POST", GenerationRoute.CHAT, exchange -> serve(exchange, generation::chat))
                .route("POST", GenerationRoute.COMPLETIONS, exchange -> serve(exchange, generation::completion))
                .route("GET", "/v1/models", exchange -> serve(exchange, models::list))
                .route(
                        "GET",
                        "/v1/entry",
                        exchange -> serve(exchange, (request, caller) -> sendEntryAddresses(request)))
                .routeAllMethods("/services/{service}", exchange -> serve(exchange, plainCall::call))
                .routeAllMethods("/services/{service}/*path", exchange -> serve(exchange, plainCall::call));
    }

    private void serve(Exchange exchange, CallerRequestHandler handler) {
        CallerRequest request = new CallerRequest(exchange, requestIds.next(), recorder);
        try {
            CallerId caller = keys.authenticate(exchange);
            request.setCaller(caller);
            service.notReadyReason().ifPresent(failure -> {
                throw new FailureException(failure);
            });
            handler.handle(request, caller);
        } catch (FailureException exception) {
            request.refuse(exception.failure());
        } catch (RuntimeException exception) {
            Logger.error(exception, "unexpected exception in request {}", request.id());
            request.refuse(new Failure.InternalError());
        }
    }

    /** Returns the declaration of a service, after checking that the caller is allowed to use it. */
    static ServiceDeclaration findAuthorizedService(
            CallerService service, ServiceId id, CallerRequest request, CallerId caller) {
        ServiceDeclaration declared = service.configuration()
                .service(id)
                .orElseThrow(() -> new FailureException(new Failure.UnknownService(id)));
        request.setService(declared);
        if (!declared.callers().contains(caller)) {
            throw new FailureException(new Failure.CallerNotAllowed(caller, id));
        }
        return declared;
    }

    private void sendEntryAddresses(CallerRequest request) {
        EntryAddresses entry = service.entryAddresses();
        request.exchange()
                .respondJson(
                        200,
                        Map.of(
                                "addresses",
                                entry.addresses().stream()
                                        .map(address -> Map.of(
                                                "host", address.host(),
                                                "data_centre", address.dataCentre(),
                                                "address", address.address()))
                                        .toList(),
                                "keep_until",
                                entry.keepUntil()));
        request.recordSuccess();
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        listener.start();
    }

    /**
     * Stops gracefully: accepts no further connections, waits for requests in flight, and closes all connections.
     *
     * @param deadline time at which requests still in flight are aborted
     * @return whether all requests ended before the deadline
     */
    public boolean stop(Instant deadline) {
        boolean drained = listener.stop(deadline);
        modelListExecutor.shutdownNow();
        return drained;
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }

    /** Returns the number of requests that have arrived and whose response has not been sent completely. */
    public int inFlight() {
        return listener.inFlight();
    }
}
