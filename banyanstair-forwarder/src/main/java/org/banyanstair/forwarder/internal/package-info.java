/** Connections to callers and endpoints; may change at any time. */
package org.banyanstair.forwarder.internal;
