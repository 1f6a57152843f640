/** Request metrics, burn-rate samples and request log lines. */
package org.banyanstair.server.http.metrics;
