package org.banyanstair.server.http;

import java.security.MessageDigest;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Finds the holder of a bearer key.
 *
 * @param <H> type of the holders
 */
public final class BearerAuthenticator<H> {
    private static final String SCHEME = "Bearer ";

    private final List<Entry<H>> entries;

    private record Entry<H>(H holder, byte[] digest) {}

    /**
     * Creates the ring.
     *
     * @param keys keys by holder
     * @throws FailureException with {@link Failure.InvalidField} if two holders have the same key
     */
    public BearerAuthenticator(Map<H, List<BearerKey>> keys) {
        entries = keys.entrySet().stream()
                .flatMap(holder -> holder.getValue().stream().map(key -> new Entry<>(holder.getKey(), key.digest())))
                .toList();
        Set<String> seen = new HashSet<>();
        for (Entry<H> entry : entries) {
            if (!seen.add(java.util.HexFormat.of().formatHex(entry.digest()))) {
                throw new FailureException(new Failure.InvalidField("key", "different from all other keys"));
            }
        }
    }

    /**
     * Finds the holder of the key that a request carries.
     *
     * <p>Compares with every key, each in constant time, so that the time does not tell how close a guess is.
     *
     * @param exchange the request
     * @return the holder
     * @throws FailureException with {@link Failure.Unauthenticated} if the key is missing or unknown
     */
    public H authenticate(Exchange exchange) {
        return exchange.header("Authorization")
                .flatMap(this::find)
                .orElseThrow(() -> new FailureException(new Failure.Unauthenticated()));
    }

    Optional<H> find(String authorization) {
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        byte[] digest =
                DigestUtils.sha256(authorization.substring(SCHEME.length()).trim());
        H found = null;
        for (Entry<H> entry : entries) {
            boolean equal = MessageDigest.isEqual(entry.digest(), digest);
            found = equal ? entry.holder() : found;
        }
        return Optional.ofNullable(found);
    }
}
