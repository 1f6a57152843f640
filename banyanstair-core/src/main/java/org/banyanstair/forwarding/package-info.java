/**
 * Decisions of a forwarding host: routing, endpoint selection, adapter placement, runner leases, retries and refusals.
 * {@link org.banyanstair.forwarding.ForwardingReducer} applies all events; nothing here does I/O.
 */
package org.banyanstair.forwarding;
