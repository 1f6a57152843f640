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
 * Authenticates requests by bearer key.
 *
 * @param <P> type of the principals
 */
public final class BearerAuthenticator<P> {
    private static final String SCHEME_PREFIX = "Bearer ";

    private final List<Credential<P>> credentials;

    private record Credential<P>(P principal, byte[] digest) {}

    /**
     * Creates an authenticator.
     *
     * @param keys keys by principal
     * @throws FailureException with {@link Failure.InvalidField} if two principals have the same key
     */
    public BearerAuthenticator(Map<P, List<BearerKey>> keys) {
        credentials = keys.entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(key -> new Credential<>(entry.getKey(), key.digest())))
                .toList();
        Set<String> seen = new HashSet<>();
        for (Credential<P> credential : credentials) {
            if (!seen.add(java.util.HexFormat.of().formatHex(credential.digest()))) {
                throw new FailureException(new Failure.InvalidField("key", "different from all other keys"));
            }
        }
    }

    /**
     * Returns the principal of the key that a request carries.
     *
     * <p>The key is compared with all keys, each in constant time, so that the response time does not reveal how close
     * a guess is.
     *
     * @throws FailureException with {@link Failure.Unauthenticated} if the key is missing or unknown
     */
    public P authenticate(Exchange exchange) {
        return exchange.header("Authorization")
                .flatMap(this::find)
                .orElseThrow(() -> new FailureException(new Failure.Unauthenticated()));
    }

    Optional<P> find(String authorization) {
        if (!authorization.regionMatches(true, 0, SCHEME_PREFIX, 0, SCHEME_PREFIX.length())) {
            return Optional.empty();
        }
        byte[] digest = DigestUtils.sha256(
                authorization.substring(SCHEME_PREFIX.length()).trim());
        P found = null;
        for (Credential<P> credential : credentials) {
            boolean equal = MessageDigest.isEqual(credential.digest(), digest);
            found = equal ? credential.principal() : found;
        }
        return Optional.ofNullable(found);
    }
}
