/** Benchmarks over a whole system on loopback; {@code bin/benchmark} starts them. */
package org.banyanstair.integration.bench;
