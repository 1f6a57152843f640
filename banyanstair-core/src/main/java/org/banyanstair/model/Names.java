package org.banyanstair.model;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Validates the names that operators give to services, adapters, callers and other entities. */
public final class Names {
    /** Accepted form of a name, as shown in error messages. */
    public static final String ACCEPTED_FORMAT =
            "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a-z or 0-9";

    private static final int MAXIMUM_LENGTH = 63;

    private Names() {}

    /**
     * Checks one name.
     *
     * @throws FailureException with {@link Failure.InvalidField} if the name is missing or malformed
     */
    public static String check(String field, String value) {
        if (value == null || !isAccepted(value)) {
            throw new FailureException(new Failure.InvalidField(field, ACCEPTED_FORMAT));
        }
        return value;
    }

    /** Hand-written instead of a regular expression, since names are checked in each message that is decoded. */
    private static boolean isAccepted(String value) {
        if (value.isEmpty() || value.length() > MAXIMUM_LENGTH || !isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int index = 1; index < value.length(); index++) {
            char character = value.charAt(index);
            if (!isLetterOrDigit(character) && character != '.' && character != '_' && character != '-') {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char character) {
        return character >= 'a' && character <= 'z' || character >= '0' && character <= '9';
    }
}
