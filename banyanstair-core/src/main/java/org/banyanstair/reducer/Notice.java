package org.banyanstair.reducer;

import org.banyanstair.errors.Failure;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;

/** A notice for operators in the log file of the daemon. */
public sealed interface Notice {
    /** A configuration version is in force on this host. */
    record ConfigurationInForce(long version) implements Notice {}

    /** A pool has a new owner. */
    record PoolOwned(PoolId pool, HostIdentity owner, long term) implements Notice {}

    /** This host has become the owner of a pool. */
    record PoolTaken(PoolId pool, long term) implements Notice {}

    /** An engine has restarted and so lost its adapters. */
    record EngineRestarted(EndpointId endpoint, long incarnation) implements Notice {}

    /** An adapter could not be loaded. */
    record LoadFailed(EndpointId endpoint, AdapterVersion adapter, Failure failure) implements Notice {}

    /** A request is suspected of having crashed an endpoint. */
    record CrashSuspected(Fingerprint fingerprint, EndpointId endpoint, int crashes) implements Notice {}

    /** Requests with a prompt part are refused, because they crash endpoints. */
    record PartRefused(long part, int crashes) implements Notice {}

    /** A record of a stream could not be decoded. */
    record UndecodableRecord(String stream, long offset) implements Notice {}

    /** Configuration records expired before this host applied them. */
    record ConfigurationGap(long wanted, long earliest) implements Notice {}
}
