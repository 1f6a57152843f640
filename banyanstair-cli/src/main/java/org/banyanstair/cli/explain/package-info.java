/** Puts the decision logs of hosts together into the history of one request. */
package org.banyanstair.cli.explain;
