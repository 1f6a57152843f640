package org.banyanstair.external;

import java.util.Optional;

/**
 * The answer of a plain service.
 *
 * @param body body, empty for none; not to be changed
 */
public record ServiceAnswer(int status, Optional<String> contentType, byte[] body) {}
