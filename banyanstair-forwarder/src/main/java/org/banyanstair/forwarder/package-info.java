/** Forwards requests of callers to endpoints over HTTP: performs the I/O around the reducer of the core. */
package org.banyanstair.forwarder;
