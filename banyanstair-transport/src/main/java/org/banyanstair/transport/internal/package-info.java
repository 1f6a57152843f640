/** Connections, framing and per-peer state of the Netty transport. Internal; may change without notice. */
package org.banyanstair.transport.internal;
