/** At-most-once execution of non-idempotent calls: intent records in the log decide which host dispatches a call. */
package org.banyanstair.idempotency;
