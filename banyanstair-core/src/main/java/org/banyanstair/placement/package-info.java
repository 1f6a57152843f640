/** Decisions of a pool owner: queueing, permits, adapter slots, loads, and crash suspects. */
package org.banyanstair.placement;
