package org.banyanstair.external;

import java.util.Optional;

/**
 * The answer of a plain service.
 *
 * @param body empty if there is none; must not be modified
 */
public record ServiceAnswer(int status, Optional<String> contentType, byte[] body) {}
