/** Faults common to the platform stand-ins (outages, delays, lost responses) and the HTTP server that applies them. */
package org.banyanstair.testsupport.fault;
