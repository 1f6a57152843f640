/**
 * Decisions of a host that passes requests on to endpoints: routes, choice of the endpoint, adapter placement, leases,
 * retries and refusals. {@link org.banyanstair.forwarding.ForwardingReducer} folds all events; nothing here does I/O.
 */
package org.banyanstair.forwarding;
