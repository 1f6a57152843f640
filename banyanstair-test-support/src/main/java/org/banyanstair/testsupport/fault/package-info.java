/** Faults that all stand-ins share: outages, delays and lost answers, and the HTTP server that applies them. */
package org.banyanstair.testsupport.fault;
