/** HTTP listeners of the daemon: Jooby routes on Netty connections, error envelopes and bearer authentication. */
package org.banyanstair.server.http;
