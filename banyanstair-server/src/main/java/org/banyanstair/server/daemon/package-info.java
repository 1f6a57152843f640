/** The shell around the reducer: the event loop, and the I/O that carries out effects. */
package org.banyanstair.server.daemon;
