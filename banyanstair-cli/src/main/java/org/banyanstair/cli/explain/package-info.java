/** Reconstruction of the history of a request from the decision logs of the hosts. */
package org.banyanstair.cli.explain;
