/** A whole system on loopback: stand-ins in this process, daemons as processes, fault proxies between them. */
package org.banyanstair.integration.cluster;
