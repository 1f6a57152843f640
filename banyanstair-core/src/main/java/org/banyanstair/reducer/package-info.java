/** The one reducer over all events of a host; effects are data that the shell carries out. */
package org.banyanstair.reducer;
