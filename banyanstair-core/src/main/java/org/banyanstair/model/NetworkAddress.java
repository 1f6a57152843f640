package org.banyanstair.model;

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
    public static final String ACCEPTED_FORMAT = "an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080";

    private static final int OCTETS = 4;

    private static final int DECIMAL_RADIX = 10;

    private static final int MAXIMUM_OCTET_DIGITS = 3;

    private static final int MAXIMUM_PORT_DIGITS = 5;

    /** Checks the port. */
    public NetworkAddress {
        if (ip == null || port < 1 || port > 65_535) {
            throw new FailureException(new Failure.InvalidField("address", ACCEPTED_FORMAT));
        }
    }

    /**
     * Parses an address.
     *
     * @throws FailureException with {@link Failure.InvalidField} if the text is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static NetworkAddress parse(String text) {
        int colon = text == null ? -1 : text.indexOf(':');
        if (colon < 0
                || !isIpv4Address(text, colon)
                || !isNumber(text, colon + 1, text.length(), MAXIMUM_PORT_DIGITS)) {
            throw new FailureException(new Failure.InvalidField("address", ACCEPTED_FORMAT));
        }
        return new NetworkAddress(
                text.substring(0, colon), Integer.parseInt(text, colon + 1, text.length(), DECIMAL_RADIX));
    }

    private static boolean isIpv4Address(String text, int end) {
        int start = 0;
        for (int octet = 1; octet < OCTETS; octet++) {
            int dot = text.indexOf('.', start);
            if (dot < 0 || dot > end || !isNumber(text, start, dot, MAXIMUM_OCTET_DIGITS)) {
                return false;
            }
            start = dot + 1;
        }
        return isNumber(text, start, end, MAXIMUM_OCTET_DIGITS);
    }

    private static boolean isNumber(String text, int start, int end, int maximumDigits) {
        if (start >= end || end - start > maximumDigits) {
            return false;
        }
        for (int index = start; index < end; index++) {
            if (text.charAt(index) < '0' || text.charAt(index) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Explicit, like {@link #hashCode}, because the methods of a record are slow until C2 has compiled them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof NetworkAddress same && port == same.port && ip.equals(same.ip);
    }

    @Override
    public int hashCode() {
        return ip.hashCode() * 31 + port;
    }

    @JsonValue
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
