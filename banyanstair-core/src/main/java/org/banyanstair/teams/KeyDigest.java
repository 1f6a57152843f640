package org.banyanstair.teams;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of an API key; the key itself is not kept.
 *
 * <p>Keys are looked up by digest, so the time of a comparison says nothing about the characters of a key.
 *
 * @param hexadecimal the digest in lower-case hexadecimal digits
 */
public record KeyDigest(String hexadecimal) {
    /** Returns the digest of a key, as the caller or the operator writes it. */
    public static KeyDigest of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }

    /** Names no digest, so that logs cannot be searched for keys. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
