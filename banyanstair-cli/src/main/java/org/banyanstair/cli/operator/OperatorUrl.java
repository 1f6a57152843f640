package org.banyanstair.cli.operator;

import okhttp3.HttpUrl;
import org.banyanstair.membership.EntryHost;

/** Makes base addresses of the operator API. */
public final class OperatorUrl {
    private OperatorUrl() {}

    /**
     * Returns the base address of a host's operator API.
     *
     * @param host the host
     * @return the address
     */
    public static HttpUrl forHost(EntryHost host) {
        return new HttpUrl.Builder()
                .scheme("http")
                .host(host.operatorAddress().ip())
                .port(host.operatorAddress().port())
                .build();
    }
}
