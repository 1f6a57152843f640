/** Records the events of callers and checks them against the runs of endpoints. */
package org.banyanstair.testsupport.history;
