/** Which host decides for a pool: rendezvous hashing proposes, claims in the log decide. */
package org.banyanstair.ownership;
