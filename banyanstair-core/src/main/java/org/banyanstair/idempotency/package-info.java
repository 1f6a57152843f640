/** Calls that may not be repeated: intent records in the log decide who dispatches, at most once for each key. */
package org.banyanstair.idempotency;
