/** Comparison of placement policies under the load profiles of two customers. */
package org.banyanstair.integration.policies;
