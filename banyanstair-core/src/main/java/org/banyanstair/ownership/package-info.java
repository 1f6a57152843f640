/** Pool ownership: rendezvous hashing selects the candidate, and claims in the log elect the owner. */
package org.banyanstair.ownership;
