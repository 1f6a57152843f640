/** Passes requests of callers on to endpoints over HTTP: the shell around the reducer of the core. */
package org.banyanstair.forwarder;
