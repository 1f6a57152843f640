/** Benchmarks of a complete cluster on loopback, run by {@code bin/benchmark}. */
package org.banyanstair.integration.bench;
