/** Messages between entry hosts. A message may be lost, delayed or duplicated; all are idempotent. */
package org.banyanstair.peer;
