package org.banyanstair.server.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** The SHA-256 digest of a bearer key. The key itself is not kept, and neither is printed. */
public final class BearerKey {
    private static final int DIGEST_BYTES = 32;

    private final byte[] digest;

    private BearerKey(byte[] digest) {
        this.digest = digest;
    }

    /**
     * Creates the digest of a key.
     *
     * @param key the key as callers send it
     * @return its digest
     */
    public static BearerKey ofPlain(String key) {
        return new BearerKey(DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Takes over a digest.
     *
     * @param hexadecimal SHA-256 digest of a key, 64 hexadecimal digits
     * @return the digest
     * @throws FailureException with {@link Failure.InvalidField} if it is malformed
     */
    public static BearerKey ofDigest(String hexadecimal) {
        try {
            byte[] digest = HexFormat.of().parseHex(hexadecimal);
            if (digest.length == DIGEST_BYTES) {
                return new BearerKey(digest);
            }
        } catch (IllegalArgumentException exception) {
            // Reported below; the message of the exception would show a part of the value.
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
