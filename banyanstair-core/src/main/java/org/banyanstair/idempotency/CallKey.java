package org.banyanstair.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.apache.commons.codec.digest.MurmurHash3;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.external.LogStreams;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.ServiceId;

/**
 * The scope in which an idempotency key is unique.
 *
 * @param key value of the header {@code Idempotency-Key}: 1 to 128 printable ASCII characters without blanks
 */
public record CallKey(CallerId caller, ServiceId service, String key) {
    private static final Pattern FORMAT = Pattern.compile("[!-~]{1,128}");

    /** Checks the key. */
    public CallKey {
        if (key == null || !FORMAT.matcher(key).matches()) {
            throw new FailureException(
                    new Failure.InvalidField("Idempotency-Key", "1 to 128 printable ASCII characters without blanks"));
        }
    }

    /**
     * Returns the partition that stores the key.
     *
     * @return partition number from 0 to {@link LogStreams#CALL_PARTITIONS} - 1
     */
    public int partition() {
        byte[] bytes = (caller + "\n" + service + "\n" + key).getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(bytes, 0, bytes.length, 0), LogStreams.CALL_PARTITIONS);
    }
}
