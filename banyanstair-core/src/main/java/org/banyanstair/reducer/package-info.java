/** The deterministic reducer of a host: maps events to effects, which the daemon executes. */
package org.banyanstair.reducer;
