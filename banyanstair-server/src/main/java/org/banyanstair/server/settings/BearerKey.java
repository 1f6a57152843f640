package org.banyanstair.server.settings;

/**
 * A secret with which a caller or an operator authenticates.
 *
 * @param value the secret
 */
public record BearerKey(String value) {
    /** Returns a text without the secret, because settings are logged at start. */
    @Override
    public String toString() {
        return "(hidden)";
    }
}
