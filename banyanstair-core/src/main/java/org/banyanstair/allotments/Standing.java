package org.banyanstair.allotments;

/**
 * What this host knows of the other hosts now.
 *
 * @param connected whether it knows the use by a majority of the hosts
 * @param complete whether it reaches all of them
 * @param hostShare part of the hosts that a single one is
 */
record Standing(boolean connected, boolean complete, double hostShare) {}
