/** Event loop of the reducer, and the I/O that executes its effects. */
package org.banyanstair.server.daemon;
