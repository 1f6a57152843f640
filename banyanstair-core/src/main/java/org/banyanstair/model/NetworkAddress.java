package org.banyanstair.model;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * An IPv4 address and a TCP port, written {@code 127.0.0.1:8080}.
 *
 * @param ip dotted decimal address
 * @param port TCP port, 1 to 65535
 */
public record NetworkAddress(String ip, int port) {
    /** Accepted form, as shown in error messages. */
    public static final String ACCEPTED = "an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080";

    private static final Pattern FORM = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");

    /** Checks the port. */
    public NetworkAddress {
        if (ip == null || port < 1 || port > 65_535) {
            throw new FailureException(new Failure.InvalidField("address", ACCEPTED));
        }
    }

    /**
     * Parses the written form.
     *
     * @param text address and port
     * @return the address
     * @throws FailureException with {@link Failure.InvalidField} if the text is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static NetworkAddress parse(String text) {
        Matcher matcher = FORM.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            throw new FailureException(new Failure.InvalidField("address", ACCEPTED));
        }
        return new NetworkAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }

    @JsonValue
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
