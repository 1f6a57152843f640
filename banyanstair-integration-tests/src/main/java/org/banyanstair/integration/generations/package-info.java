/** Chat traffic with known answers, for the history checks of generations. */
package org.banyanstair.integration.generations;
