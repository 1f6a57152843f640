/** Scheduling within a pool: queueing, permits, adapter slots and loads, and crash suspects. */
package org.banyanstair.placement;
