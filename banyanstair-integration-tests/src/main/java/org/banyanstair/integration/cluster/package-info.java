/** Test clusters on loopback: stand-ins in this process, daemons as processes, and fault proxies between them. */
package org.banyanstair.integration.cluster;
