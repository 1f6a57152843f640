/** The quick start: a sample cluster on loopback, sample traffic, and a report on the promises that it checks. */
package org.banyanstair.integration.quickstart;
