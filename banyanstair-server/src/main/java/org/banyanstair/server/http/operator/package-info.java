/** HTTP interface for operators: configuration, cluster state, burn-rate samples and metrics. */
package org.banyanstair.server.http.operator;
