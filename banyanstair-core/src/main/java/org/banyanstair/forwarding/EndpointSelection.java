package org.banyanstair.forwarding;

/**
 * The endpoint that is expected to start a request first.
 *
 * @param load whether the adapter has to be loaded there
 * @param startMilliseconds expected time until the first output
 */
record EndpointSelection(EndpointState endpoint, boolean load, double startMilliseconds) {}
