/** Writes metrics as text. */
package org.banyanstair.metrics;
