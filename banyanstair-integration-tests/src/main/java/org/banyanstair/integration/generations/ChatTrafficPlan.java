package org.banyanstair.integration.generations;

import java.time.Duration;

/**
 * Chat traffic of callers that each wait for an answer before the next request.
 *
 * @param seed seed of all choices
 * @param workers callers at a time
 * @param adapters adapters {@code adapter-0} and so on
 * @param duration time in which requests are sent
 * @param deadline time from a request to its deadline
 */
public record ChatTrafficPlan(long seed, int workers, int adapters, Duration duration, Duration deadline) {}
