package org.banyanstair.integration.quickstart;

/** A promise that did not hold. */
record BrokenPromise(Promise promise, String detail) {}
