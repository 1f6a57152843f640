/** The interface for operators: configuration, state of the cluster, burn samples and metrics. */
package org.banyanstair.server.http.operator;
