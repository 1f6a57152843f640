package org.banyanstair.cli.operator;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointReport;

/**
 * Client of the operator API.
 *
 * <p>Methods throw {@link FailureException}, with {@link Failure.OperatorUnreachable} if no address can be reached.
 */
public final class OperatorClient {
    private static final MediaType JSON_TYPE = MediaType.get("application/json");

    /** A configuration with 96,000 adapters is read in one call, which takes seconds on a slow connection. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

    /** Limit for one read or write, after which a host counts as unreachable and the next address is tried. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** Limits how long an unresponsive host delays a query of all hosts. */
    private static final Duration SINGLE_HOST_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** Ignores unknown fields, which a host of a newer release may send. */
    private static final ObjectMapper MAPPER =
            Mappers.JSON.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final List<HttpUrl> addresses;
    private final String key;
    private final OkHttpClient httpClient;
    private final OkHttpClient singleHostHttpClient;

    /**
     * Creates a client.
     *
     * @param addresses base URLs of the operator API, tried in this order; at least one
     * @param key bearer token of the operator
     */
    public OperatorClient(List<HttpUrl> addresses, String key) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        this.httpClient = new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(IDLE_TIMEOUT)
                .writeTimeout(IDLE_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                // The HTTP client must not resend a change, because the first submission may still be accepted.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .eventListenerFactory(RequestSendTracker.FACTORY)
                .build();
        this.singleHostHttpClient =
                httpClient.newBuilder().callTimeout(SINGLE_HOST_TIMEOUT).build();
    }

    /** Returns the base URLs in the order in which they are tried. */
    public List<HttpUrl> addresses() {
        return addresses;
    }

    /** Reads the configuration in force. */
    public Configuration configuration() {
        return read("operator/v1/configuration", new TypeReference<>() {});
    }

    /** Reads the state of the hosts. */
    public ClusterStatus status() {
        return read("operator/v1/status", new TypeReference<>() {});
    }

    /** Reads the state of the endpoints, one report for each endpoint. */
    public List<EndpointReport> endpoints() {
        return read("operator/v1/endpoints", new TypeReference<>() {});
    }

    /** Requests that a host drains and stops. */
    public void drain(HostId host) {
        Request.Builder request = new Request.Builder().post(RequestBody.create(new byte[0], JSON_TYPE));
        sendRepeatable(request, "operator/v1/hosts/" + host + "/drain");
    }

    /**
     * Submits a change. The next address is tried only as long as no request has begun to be sent.
     *
     * @throws FailureException with {@link Failure.ChangeOutcomeUnknown} if the change may have been accepted
     */
    public ChangeVerdict submit(ConfigurationChange change) {
        Failure unknown = new Failure.ChangeOutcomeUnknown(change.changeId());
        for (HttpUrl address : addresses) {
            RequestSendTracker sendTracker = new RequestSendTracker();
            try {
                Request request = authorized(address, "operator/v1/changes")
                        .tag(RequestSendTracker.class, sendTracker)
                        .post(RequestBody.create(MAPPER.writeValueAsBytes(change), JSON_TYPE))
                        .build();
                BufferedResponse response = execute(httpClient, request);
                return verdict(response, unknown);
            } catch (IOException exception) {
                if (sendTracker.isSendStarted()) {
                    throw new FailureException(unknown);
                }
            }
        }
        throw operatorUnreachable();
    }

    private static ChangeVerdict verdict(BufferedResponse response, Failure unknown) {
        try {
            if (response.isSuccess()) {
                return MAPPER.readValue(response.body(), ChangeVerdict.class);
            }
        } catch (IOException exception) {
            throw new FailureException(unknown);
        }
        Failure fallback = response.status() >= 500 ? unknown : failureForStatus(response);
        return new ChangeVerdict.Refused(
                ErrorEnvelopeParser.parse(MAPPER, response.body()).orElse(fallback));
    }

    /**
     * Queries one host for the verdict on a change.
     *
     * @param address base URL of the host's operator API
     * @return the verdict; empty if the host has none or cannot be reached
     */
    public Optional<ChangeVerdict> verdict(HttpUrl address, String changeId) {
        return queryHost(address, "operator/v1/changes/" + changeId, ChangeVerdict.class);
    }

    /**
     * Reads the burn rate samples of one host.
     *
     * @param address base URL of the host's operator API
     * @return the samples; empty if the host cannot be reached
     */
    public Optional<BurnRateSnapshot> burnRates(HttpUrl address) {
        return queryHost(address, "operator/v1/burn", BurnRateSnapshot.class);
    }

    private <T> Optional<T> queryHost(HttpUrl address, String path, Class<T> type) {
        try {
            BufferedResponse response =
                    execute(singleHostHttpClient, authorized(address, path).build());
            return response.isSuccess() ? Optional.of(MAPPER.readValue(response.body(), type)) : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /** Sends an idempotent request to the addresses in turn until one answers. */
    private byte[] sendRepeatable(Request.Builder request, String path) {
        for (HttpUrl address : addresses) {
            try {
                BufferedResponse response =
                        execute(httpClient, authorize(request, address, path).build());
                if (!response.isSuccess()) {
                    throw new FailureException(ErrorEnvelopeParser.parse(MAPPER, response.body())
                            .orElseGet(() -> failureForStatus(response)));
                }
                return response.body();
            } catch (IOException exception) {
                continue;
            }
        }
        throw operatorUnreachable();
    }

    private FailureException operatorUnreachable() {
        return new FailureException(new Failure.OperatorUnreachable(
                addresses.stream().map(HttpUrl::toString).collect(Collectors.joining(", "))));
    }

    private static Failure failureForStatus(BufferedResponse response) {
        return response.status() == 401
                ? new Failure.Unauthenticated()
                : new Failure.UnexpectedResponse(response.status());
    }

    private Request.Builder authorized(HttpUrl address, String path) {
        return authorize(new Request.Builder(), address, path);
    }

    private Request.Builder authorize(Request.Builder request, HttpUrl address, String path) {
        HttpUrl url = address.newBuilder().addPathSegments(path).build();
        return request.url(url).header("Authorization", "Bearer " + key);
    }

    private record BufferedResponse(int status, byte[] body) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    private static BufferedResponse execute(OkHttpClient client, Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            return new BufferedResponse(response.code(), response.body().bytes());
        }
    }

    private <T> T read(String path, TypeReference<T> type) {
        try {
            return MAPPER.readValue(sendRepeatable(new Request.Builder().get(), path), type);
        } catch (IOException exception) {
            throw new FailureException(new Failure.UnexpectedResponse(200));
        }
    }
}
