package org.banyanstair.integration.bench;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.banyanstair.codec.Mappers;
import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterHost;
import org.banyanstair.model.NetworkAddress;

/** HTTP client that reads metrics and status documents of hosts and stand-ins. */
final class MeasurementClient {
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(10)).build();

    /** Returns the body of a successful response. */
    byte[] get(NetworkAddress address, String path) throws IOException {
        Request request = new Request.Builder()
                .url("http://" + address + path)
                .header("Authorization", "Bearer " + Cluster.OPERATOR_KEY)
                .build();
        try (Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("GET " + path + " returned status " + response.code());
            }
            return response.body().bytes();
        }
    }

    /** Returns the body of a successful response as JSON. */
    JsonNode json(NetworkAddress address, String path) throws IOException {
        return Mappers.JSON.readTree(get(address, path));
    }

    /** Returns the metrics of a host. */
    MetricsText metrics(ClusterHost host) throws IOException {
        return new MetricsText(new String(get(host.operator(), "/metrics"), java.nio.charset.StandardCharsets.UTF_8));
    }

    /** Returns the version of the configuration that a host has in force. */
    long configurationVersion(ClusterHost host) throws IOException {
        return json(host.operator(), "/operator/v1/configuration")
                .path("version")
                .asLong(Long.MIN_VALUE);
    }
}
