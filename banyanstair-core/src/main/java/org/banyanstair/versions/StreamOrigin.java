package org.banyanstair.versions;

import java.time.Instant;

/**
 * What began a stream.
 *
 * @param expiresAt when no caller waits for the rest of the stream, on the local steady clock
 */
public record StreamOrigin(String service, SoftwareVersion version, Instant expiresAt) {}
