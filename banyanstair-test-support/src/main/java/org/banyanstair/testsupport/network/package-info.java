/** Faults of the network between processes. */
package org.banyanstair.testsupport.network;
