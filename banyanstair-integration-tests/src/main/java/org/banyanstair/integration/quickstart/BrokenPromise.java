package org.banyanstair.integration.quickstart;

/** A violation of a promise, with a description of the evidence. */
record BrokenPromise(Promise promise, String detail) {}
