/** History checks of orders that may not be repeated, over real processes. */
package org.banyanstair.integration.orders;
