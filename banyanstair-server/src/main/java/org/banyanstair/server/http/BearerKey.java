package org.banyanstair.server.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** SHA-256 digest of a bearer key. The key itself is not retained, and neither is printed. */
public final class BearerKey {
    private static final int DIGEST_BYTES = 32;

    private final byte[] digest;

    private BearerKey(byte[] digest) {
        this.digest = digest;
    }

    /** Computes the digest of a plain-text key. */
    public static BearerKey ofPlain(String key) {
        return new BearerKey(DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Parses a digest.
     *
     * @param hexadecimal SHA-256 digest of a key, 64 hexadecimal digits
     * @throws FailureException with {@link Failure.InvalidField} if it is malformed
     */
    public static BearerKey ofDigest(String hexadecimal) {
        try {
            byte[] digest = HexFormat.of().parseHex(hexadecimal);
            if (digest.length == DIGEST_BYTES) {
                return new BearerKey(digest);
            }
        } catch (IllegalArgumentException exception) {
            // Reported below, because the message of this exception would reveal a part of the value.
        }
        throw new FailureException(new Failure.InvalidField("key", "a SHA-256 digest of 64 hexadecimal digits"));
    }

    byte[] digest() {
        return digest;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BearerKey key && MessageDigest.isEqual(digest, key.digest);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(digest);
    }

    @Override
    public String toString() {
        return "BearerKey";
    }
}
