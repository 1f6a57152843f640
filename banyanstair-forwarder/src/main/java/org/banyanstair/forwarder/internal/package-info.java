/** Connections to callers and endpoints; not part of the API of this module. */
package org.banyanstair.forwarder.internal;
