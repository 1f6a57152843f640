package org.banyanstair.integration.cluster;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.testsupport.network.FaultProxy;
import org.banyanstair.testsupport.service.PlainServiceStandIn;

/**
 * An endpoint of the plain service {@code order-desk}.
 *
 * @param endpoint its entry in the host list; the address is that of the proxy
 * @param proxy proxy through which hosts reach it
 */
public record ClusterServiceEndpoint(Endpoint endpoint, PlainServiceStandIn service, FaultProxy proxy) {}
