package org.banyanstair.external.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.PlainServiceClient;
import org.banyanstair.external.ServiceAnswer;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.membership.Endpoint;

/** Plain service client over HTTP, based on OkHttp. It sends each call at most once and does not follow redirects. */
public final class HttpPlainServiceClient implements PlainServiceClient {
    /** Methods for which OkHttp requires a body, even if it is empty. */
    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private final long responseLimitBytes;
    private final EndpointHttpClient httpClient;

    /**
     * Creates a client.
     *
     * @param connectTimeout timeout for establishing a connection; the wait for the response is limited by the deadline
     *     of the call
     * @param responseLimitBytes maximum length of a response body; the outcome of a call with a longer one is unknown
     */
    public HttpPlainServiceClient(Duration connectTimeout, long responseLimitBytes) {
        this.responseLimitBytes = responseLimitBytes;
        this.httpClient = new EndpointHttpClient("service-call", connectTimeout);
    }

    /** Ends all calls and stops the threads of the client. */
    public void stop() {
        httpClient.stop();
    }

    @Override
    public CompletableFuture<ServiceCallResult> call(Endpoint endpoint, ServiceCall request) {
        if (EndpointHttpClient.hasPassed(request.deadline())) {
            return notSent(new Failure.DeadlinePassed(request.deadline()));
        }
        if (httpClient.isFull()) {
            return notSent(new Failure.EndpointUnreachable(endpoint.id()));
        }
        Request httpRequest;
        try {
            httpRequest = toHttpRequest(endpoint, request);
        } catch (IllegalArgumentException exception) {
            return notSent(new Failure.InvalidField("call", "an HTTP method, path and content type"));
        }
        EndpointHttpClient.SendState sendState = new EndpointHttpClient.SendState();
        CompletableFuture<ServiceCallResult> future = new CompletableFuture<>();
        httpClient.newCall(httpRequest, sendState, request.deadline()).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                future.complete(failureResult(endpoint, request, sendState));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    future.complete(new ServiceCallResult.Answered(toAnswer(response)));
                } catch (IOException exception) {
                    future.complete(failureResult(endpoint, request, sendState));
                }
            }
        });
        return future;
    }

    private ServiceAnswer toAnswer(Response response) throws IOException {
        Optional<String> contentType = Optional.ofNullable(response.header("Content-Type"));
        return new ServiceAnswer(
                response.code(), contentType, EndpointHttpClient.readBody(response, responseLimitBytes));
    }

    private static ServiceCallResult failureResult(
            Endpoint endpoint, ServiceCall request, EndpointHttpClient.SendState sendState) {
        boolean deadlinePassed = EndpointHttpClient.hasPassed(request.deadline());
        if (sendState.isSent()) {
            return new ServiceCallResult.OutcomeUnknown(
                    deadlinePassed ? new Failure.OutcomeUnknown() : new Failure.EndpointFailed(endpoint.id()));
        }
        return new ServiceCallResult.NotSent(
                deadlinePassed
                        ? new Failure.DeadlinePassed(request.deadline())
                        : new Failure.EndpointUnreachable(endpoint.id()));
    }

    private static Request toHttpRequest(Endpoint endpoint, ServiceCall request) {
        // Without the leading slash, the path would become part of the authority; OkHttp does not check the method.
        if (!request.path().startsWith("/") || !METHOD.matcher(request.method()).matches()) {
            throw new IllegalArgumentException("malformed HTTP method or path");
        }
        boolean withBody = request.body().length > 0 || METHODS_WITH_BODY.contains(request.method());
        Request.Builder builder = new Request.Builder()
                .url("http://" + endpoint.address() + request.path())
                .header("X-Request-Id", request.requestId().value())
                .method(request.method(), withBody ? RequestBody.create(request.body()) : null);
        request.contentType().ifPresent(type -> builder.header("Content-Type", type));
        return builder.build();
    }

    private static CompletableFuture<ServiceCallResult> notSent(Failure failure) {
        return CompletableFuture.completedFuture(new ServiceCallResult.NotSent(failure));
    }
}
