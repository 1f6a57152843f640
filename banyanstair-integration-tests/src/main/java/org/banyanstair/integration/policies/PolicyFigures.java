package org.banyanstair.integration.policies;

/**
 * The figures measured for a placement policy.
 *
 * @param answered requests answered within their deadline
 * @param missed requests answered after their deadline, refused less than 200 ms before it, or with an unknown outcome
 * @param refused requests refused as not run more than 200 ms before their deadline
 * @param stallMeanMilliseconds mean time that answered requests waited for adapter loads
 * @param stallP99Milliseconds 99th percentile of the load stall
 * @param firstTokenP50Milliseconds median time to the first token
 * @param firstTokenP95Milliseconds 95th percentile of the time to the first token
 * @param premiumFirstTokenP95Milliseconds the same for premium requests
 * @param tokenGapP95Milliseconds 95th percentile of the time between tokens
 * @param batchEfficiency mean share of the batch limit in use per engine step, 0 to 1
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
