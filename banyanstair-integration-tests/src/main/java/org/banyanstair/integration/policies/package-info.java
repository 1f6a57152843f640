/** Comparison of placement policies under the load of the two customers. */
package org.banyanstair.integration.policies;
