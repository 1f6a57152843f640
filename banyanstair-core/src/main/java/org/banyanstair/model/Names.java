package org.banyanstair.model;

import java.util.regex.Pattern;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Checks the names that operators give to services, adapters, callers and the like. */
public final class Names {
    /** Accepted form of a name, as shown in error messages. */
    public static final String ACCEPTED = "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a-z or 0-9";

    private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Names() {}

    /**
     * Checks one name.
     *
     * @param field name of the field, for the error
     * @param value the name
     * @return the name
     * @throws FailureException with {@link Failure.InvalidField} if the name is missing or malformed
     */
    public static String check(String field, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw new FailureException(new Failure.InvalidField(field, ACCEPTED));
        }
        return value;
    }
}
