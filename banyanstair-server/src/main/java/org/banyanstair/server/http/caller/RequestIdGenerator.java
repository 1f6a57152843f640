package org.banyanstair.server.http.caller;

import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;

/** Generates request ids from host, incarnation and a counter, which makes them unique across hosts and restarts. */
final class RequestIdGenerator {
    /** Maximum length of a host name in an id. The rest of the 80 characters of a request id is for two numbers. */
    private static final int HOST_CHARACTERS = 48;

    private final String prefix;
    private final AtomicLong counter = new AtomicLong();

    RequestIdGenerator(HostIdentity identity) {
        String host = identity.host().value();
        String name = host.length() <= HOST_CHARACTERS ? host : DigestUtils.md5Hex(host);
        prefix = name + "-" + Long.toUnsignedString(identity.incarnation(), Character.MAX_RADIX) + "-";
    }

    RequestId next() {
        return new RequestId(prefix + Long.toUnsignedString(counter.getAndIncrement(), Character.MAX_RADIX));
    }
}
