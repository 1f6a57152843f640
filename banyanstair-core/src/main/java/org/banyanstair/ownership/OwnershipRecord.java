package org.banyanstair.ownership;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;

/** A record of the stream {@code ownership}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface OwnershipRecord extends LogEntry {
    /** The host decides for the pool from now on; the offset of the record is the term. */
    record Claim(PoolId pool, HostIdentity owner) implements OwnershipRecord {}

    /** Repeats an earlier claim so that it outlives the retention of the stream. */
    record Renewal(PoolId pool, HostIdentity owner, long term) implements OwnershipRecord {}

    /** The owner of the term is about to order an unload; void if a newer claim precedes the record. */
    record UnloadAnnouncement(PoolId pool, long term, EndpointId endpoint, long incarnation, AdapterVersion adapter)
            implements OwnershipRecord {}

    /** An announced unload has ended and will not reach the endpoint any more. */
    record UnloadEnd(PoolId pool, EndpointId endpoint, long incarnation, AdapterVersion adapter)
            implements OwnershipRecord {}
}
