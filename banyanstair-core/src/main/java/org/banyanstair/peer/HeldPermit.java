package org.banyanstair.peer;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.RequestId;

/**
 * A permit that an entry host holds, as reported to a new pool owner.
 *
 * @param attempt number of the attempt, from 1
 * @param endpoint endpoint that it runs on
 * @param adapter adapter that it uses
 */
public record HeldPermit(
        RequestId request, int attempt, EndpointId endpoint, AdapterVersion adapter, Fingerprint fingerprint) {}
