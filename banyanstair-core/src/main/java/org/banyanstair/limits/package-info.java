/** How hosts divide the requests that an endpoint takes from all of them together; pure decisions. */
package org.banyanstair.limits;
