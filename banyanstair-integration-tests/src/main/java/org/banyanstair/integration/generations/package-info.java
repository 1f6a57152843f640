/** Chat traffic with computable answers, for the history tests of generation requests. */
package org.banyanstair.integration.generations;
