package org.banyanstair.ownership;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.external.LogEntry;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;

/** A record in the {@code ownership} log stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "record")
public sealed interface OwnershipRecord extends LogEntry {
    /** The host owns the pool from this record on; the offset of the record is the term. */
    record Claim(PoolId pool, HostIdentity owner) implements OwnershipRecord {}

    /** Repeats an earlier claim before the retention of the stream removes it. */
    record Renewal(PoolId pool, HostIdentity owner, long term) implements OwnershipRecord {}

    /** The owner of the term is about to send an unload command; void if a newer claim precedes the record. */
    record UnloadAnnouncement(PoolId pool, long term, EndpointId endpoint, long incarnation, AdapterVersion adapter)
            implements OwnershipRecord {}

    /** An announced unload has ended and can no longer reach the endpoint. */
    record UnloadEnd(PoolId pool, EndpointId endpoint, long incarnation, AdapterVersion adapter)
            implements OwnershipRecord {}
}
