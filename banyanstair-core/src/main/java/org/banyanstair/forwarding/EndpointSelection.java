package org.banyanstair.forwarding;

/**
 * The endpoint that is expected to start a request first.
 *
 * @param load whether the adapter has to be loaded there
 * @param startMilliseconds expected time until the first output
 * @param ownMilliseconds part of that time that is due to this request: its uncached prompt and the load of its adapter
 */
record EndpointSelection(EndpointState endpoint, boolean load, double startMilliseconds, double ownMilliseconds) {}
