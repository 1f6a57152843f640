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
 * Client of the operator protocol.
 *
 * <p>Methods throw {@link FailureException}; with {@link Failure.OperatorUnreachable} if no address can be reached.
 */
public final class OperatorClient {
    private static final MediaType JSON_TYPE = MediaType.get("application/json");

    /** The configuration of 96,000 adapters is read with one call, which takes seconds on a slow connection. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

    /** A host that sends nothing for this long counts as unreachable, and the next address is tried. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(10);

    /** Bounds the time that a silent host costs when all hosts are asked. */
    private static final Duration ONE_HOST_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** A host of a newer release may send fields that this release does not know. */
    private static final ObjectMapper MAPPER =
            Mappers.JSON.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final List<HttpUrl> addresses;
    private final String key;
    private final OkHttpClient http;
    private final OkHttpClient oneHostHttp;

    /**
     * Creates a client.
     *
     * @param addresses base addresses of the operator API, tried in this order; at least one
     * @param key bearer key of the operator
     */
    public OperatorClient(List<HttpUrl> addresses, String key) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        this.http = new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(SILENCE_TIMEOUT)
                .writeTimeout(SILENCE_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                // A change must not be sent twice by a layer that does not know its meaning.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .eventListenerFactory(SendWatch.FACTORY)
                .build();
        this.oneHostHttp = http.newBuilder().callTimeout(ONE_HOST_TIMEOUT).build();
    }

    /**
     * Returns the addresses of this client.
     *
     * @return the addresses in the order in which they are tried
     */
    public List<HttpUrl> addresses() {
        return addresses;
    }

    /**
     * Reads the configuration in force.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return read("operator/v1/configuration", new TypeReference<>() {});
    }

    /**
     * Reads the state of the hosts.
     *
     * @return the state
     */
    public ClusterStatus status() {
        return read("operator/v1/status", new TypeReference<>() {});
    }

    /**
     * Reads the state of the endpoints.
     *
     * @return one report for each endpoint
     */
    public List<EndpointReport> endpoints() {
        return read("operator/v1/endpoints", new TypeReference<>() {});
    }

    /**
     * Asks a host to drain and stop.
     *
     * @param host the host
     */
    public void drain(HostId host) {
        Request.Builder request = new Request.Builder().post(RequestBody.create(new byte[0], JSON_TYPE));
        send(request, "operator/v1/hosts/" + host + "/drain");
    }

    /**
     * Submits a change.
     *
     * @param change the change
     * @return the verdict
     * @throws FailureException with {@link Failure.ChangeOutcomeUnknown} if the change may have been accepted
     */
    public ChangeVerdict submit(ConfigurationChange change) {
        Failure unknown = new Failure.ChangeOutcomeUnknown(change.changeId());
        for (HttpUrl address : addresses) {
            SendWatch watch = new SendWatch();
            try {
                Request request = authorized(address, "operator/v1/changes")
                        .tag(SendWatch.class, watch)
                        .post(RequestBody.create(MAPPER.writeValueAsBytes(change), JSON_TYPE))
                        .build();
                Reply reply = execute(http, request);
                return verdict(reply, unknown);
            } catch (IOException exception) {
                if (watch.isStarted()) {
                    throw new FailureException(unknown);
                }
            }
        }
        throw unreachable();
    }

    private static ChangeVerdict verdict(Reply reply, Failure unknown) {
        try {
            if (reply.isSuccess()) {
                return MAPPER.readValue(reply.body(), ChangeVerdict.class);
            }
        } catch (IOException exception) {
            throw new FailureException(unknown);
        }
        Failure fallback = reply.status() >= 500 ? unknown : refusal(reply);
        return new ChangeVerdict.Refused(ErrorBody.failure(MAPPER, reply.body()).orElse(fallback));
    }

    /**
     * Asks one host for the verdict on a change.
     *
     * @param address address of the host
     * @param changeId id of the change
     * @return the verdict; empty if the host has none or cannot be asked
     */
    public Optional<ChangeVerdict> verdict(HttpUrl address, String changeId) {
        return askOne(address, "operator/v1/changes/" + changeId, ChangeVerdict.class);
    }

    /**
     * Reads the burn samples of one host.
     *
     * @param address address of the host
     * @return the samples, empty if the host cannot be asked
     */
    public Optional<BurnRateSnapshot> burn(HttpUrl address) {
        return askOne(address, "operator/v1/burn", BurnRateSnapshot.class);
    }

    private <T> Optional<T> askOne(HttpUrl address, String path, Class<T> type) {
        try {
            Reply reply = execute(oneHostHttp, authorized(address, path).build());
            return reply.isSuccess() ? Optional.of(MAPPER.readValue(reply.body(), type)) : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /** Sends a request that may be repeated to the addresses in turn, until one answers. */
    private byte[] send(Request.Builder request, String path) {
        for (HttpUrl address : addresses) {
            try {
                Reply reply = execute(http, authorize(request, address, path).build());
                if (!reply.isSuccess()) {
                    throw new FailureException(
                            ErrorBody.failure(MAPPER, reply.body()).orElseGet(() -> refusal(reply)));
                }
                return reply.body();
            } catch (IOException exception) {
                continue;
            }
        }
        throw unreachable();
    }

    private FailureException unreachable() {
        return new FailureException(new Failure.OperatorUnreachable(
                addresses.stream().map(HttpUrl::toString).collect(Collectors.joining(", "))));
    }

    private static Failure refusal(Reply reply) {
        return reply.status() == 401 ? new Failure.Unauthenticated() : new Failure.UnexpectedResponse(reply.status());
    }

    private Request.Builder authorized(HttpUrl address, String path) {
        return authorize(new Request.Builder(), address, path);
    }

    private Request.Builder authorize(Request.Builder request, HttpUrl address, String path) {
        HttpUrl url = address.newBuilder().addPathSegments(path).build();
        return request.url(url).header("Authorization", "Bearer " + key);
    }

    private record Reply(int status, byte[] body) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    private static Reply execute(OkHttpClient client, Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            return new Reply(response.code(), response.body().bytes());
        }
    }

    private <T> T read(String path, TypeReference<T> type) {
        try {
            return MAPPER.readValue(send(new Request.Builder().get(), path), type);
        } catch (IOException exception) {
            throw new FailureException(new Failure.UnexpectedResponse(200));
        }
    }
}
