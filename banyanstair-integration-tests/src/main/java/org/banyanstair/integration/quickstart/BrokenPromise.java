package org.banyanstair.integration.quickstart;

/**
 * A promise that did not hold.
 *
 * @param promise the promise
 * @param detail what was seen
 */
record BrokenPromise(Promise promise, String detail) {}
