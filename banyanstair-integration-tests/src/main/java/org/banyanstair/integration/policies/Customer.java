package org.banyanstair.integration.policies;

import java.time.Duration;

/**
 * The load profile of a customer.
 *
 * @param loadsPerSecond adapter loads per second that the weight store serves
 * @param adapters number of registered adapters
 * @param zipfExponent exponent of the Zipf distribution of adapter popularity
 * @param requestsPerSecond mean arrival rate
 * @param premiumShare share of premium requests
 * @param urgentShare share of requests with a tight deadline, for adapters chosen uniformly
 * @param tokens tokens per answer
 */
public record Customer(
        String name,
        int engines,
        double loadsPerSecond,
        int adapters,
        double zipfExponent,
        double requestsPerSecond,
        double premiumShare,
        double urgentShare,
        int tokens,
        String preset) {
    /** Tender replies and safety-code answers: rarely used adapters with tight deadlines. */
    public static final Customer COOPERATIVE =
            new Customer("cooperative", 8, 3, 3_000, 1.2, 12, 0.2, 0.1, 32, "ordinary");

    /** Proof reviews at peak load: many requests on fewer adapters, with a larger premium share. */
    public static final Customer ASSOCIATION = new Customer("association", 6, 2, 3_000, 1.5, 60, 0.3, 0.01, 32, "peak");

    /** Time to the deadline of an urgent request. */
    static final Duration URGENT_TIME_TO_DEADLINE = Duration.ofSeconds(3);

    /** Time to the deadline of any other request. */
    static final Duration ORDINARY_TIME_TO_DEADLINE = Duration.ofSeconds(10);
}
