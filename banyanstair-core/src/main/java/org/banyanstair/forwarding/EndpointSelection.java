package org.banyanstair.forwarding;

/**
 * The endpoint that is expected to start a request first.
 *
 * @param endpoint the endpoint
 * @param load whether its adapter has to be loaded there
 * @param startMilliseconds expected time until its first output
 */
record EndpointSelection(EndpointState endpoint, boolean load, double startMilliseconds) {}
