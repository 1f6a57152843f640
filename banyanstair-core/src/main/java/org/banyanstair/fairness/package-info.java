/** Which requests of which teams are admitted, and in which order, when a service is full; pure decisions. */
package org.banyanstair.fairness;
