package org.banyanstair.integration.policies;

/**
 * What one policy reached.
 *
 * @param answered requests answered within their deadline
 * @param missed requests that were admitted, or not refused at once, and missed their deadline
 * @param refused requests refused at once as not run
 * @param stallMeanMilliseconds mean load stall of the answered requests
 * @param stallP99Milliseconds 99th percentile of the load stall
 * @param firstTokenP50Milliseconds median time to the first token
 * @param firstTokenP95Milliseconds 95th percentile of the time to the first token
 * @param premiumFirstTokenP95Milliseconds the same for premium requests
 * @param tokenGapP95Milliseconds 95th percentile of the time between tokens
 * @param batchEfficiency mean fill of the batches while an engine ran, 0 to 1
 * @param loads adapter loads at all engines
 */
public record PolicyFigures(
        String policy,
        long requests,
        long answered,
        long missed,
        long refused,
        double stallMeanMilliseconds,
        long stallP99Milliseconds,
        long firstTokenP50Milliseconds,
        long firstTokenP95Milliseconds,
        long premiumFirstTokenP95Milliseconds,
        long tokenGapP95Milliseconds,
        double batchEfficiency,
        long loads) {}
