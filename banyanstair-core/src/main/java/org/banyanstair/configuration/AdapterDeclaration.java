package org.banyanstair.configuration;

import java.util.List;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.Names;

/**
 * An adapter as operators register it.
 *
 * @param versions registered versions, at least one
 * @param defaultVersion version used for requests that name none; one of the registered versions
 */
public record AdapterDeclaration(AdapterKey key, List<String> versions, String defaultVersion) {
    /** Checks the versions and copies the list. */
    public AdapterDeclaration {
        versions = List.copyOf(versions);
        if (versions.isEmpty()) {
            throw new FailureException(new Failure.InvalidField("adapter.versions", "a list of at least one version"));
        }
        versions.forEach(version -> Names.check("adapter.versions", version));
        if (!versions.contains(defaultVersion)) {
            throw new FailureException(new Failure.InvalidField("adapter.default", "one of the registered versions"));
        }
    }
}
