package org.banyanstair.cli.operator;

import okhttp3.HttpUrl;
import org.banyanstair.membership.EntryHost;

/** Builds base URLs of the operator API. */
public final class OperatorUrl {
    private OperatorUrl() {}

    /** Returns the base URL of the operator API of a host. */
    public static HttpUrl forHost(EntryHost host) {
        return new HttpUrl.Builder()
                .scheme("http")
                .host(host.operatorAddress().ip())
                .port(host.operatorAddress().port())
                .build();
    }
}
