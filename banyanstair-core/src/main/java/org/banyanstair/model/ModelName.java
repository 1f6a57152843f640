package org.banyanstair.model;

import java.util.Optional;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * The {@code model} field of a caller's request: service, adapter and, if given, version.
 *
 * @param version version label, empty for the default version in the configuration
 */
public record ModelName(ServiceId service, AdapterId adapter, Optional<String> version) {
    /** Accepted form, as shown in error messages. */
    public static final String ACCEPTED_FORMAT = "service/adapter or service/adapter@version";

    /**
     * Parses a model name.
     *
     * @param text {@code service/adapter} or {@code service/adapter@version}
     * @throws FailureException with {@link Failure.InvalidField} if the text is malformed
     */
    public static ModelName parse(String text) {
        int slash = text == null ? -1 : text.indexOf('/');
        if (slash < 0) {
            throw new FailureException(new Failure.InvalidField("model", ACCEPTED_FORMAT));
        }
        int at = text.indexOf('@', slash);
        String adapter = at < 0 ? text.substring(slash + 1) : text.substring(slash + 1, at);
        Optional<String> version =
                at < 0 ? Optional.empty() : Optional.of(Names.check("version", text.substring(at + 1)));
        return new ModelName(new ServiceId(text.substring(0, slash)), new AdapterId(adapter), version);
    }
}
