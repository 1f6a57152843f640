/** Export of metrics in the Prometheus text format. */
package org.banyanstair.metrics;
