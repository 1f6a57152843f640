package org.banyanstair.integration.cluster;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.testsupport.engine.EngineStandIn;
import org.banyanstair.testsupport.network.FaultProxy;

/**
 * An engine of a cluster.
 *
 * @param endpoint its entry in the host list; the address is that of the proxy
 * @param proxy proxy through which hosts reach it
 */
public record ClusterEngine(Endpoint endpoint, EngineStandIn engine, FaultProxy proxy) {}
