/** History tests of non-idempotent orders, with hosts as real processes. */
package org.banyanstair.integration.orders;
