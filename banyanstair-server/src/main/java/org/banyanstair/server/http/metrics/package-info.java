/** Metrics, burn samples and log lines of requests. */
package org.banyanstair.server.http.metrics;
