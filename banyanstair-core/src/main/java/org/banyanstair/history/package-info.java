/** Positions in the history of the external log, which may be restored from an older copy of itself. */
package org.banyanstair.history;
