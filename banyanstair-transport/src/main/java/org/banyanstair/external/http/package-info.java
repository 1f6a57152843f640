/** Clients of the systems outside over HTTP. */
package org.banyanstair.external.http;
