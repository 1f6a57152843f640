package org.banyanstair.integration.generations;

import java.time.Duration;

/**
 * The parameters of closed-loop chat traffic: each worker waits for an answer before its next request.
 *
 * @param seed seed of adapters, prompts, token limits and hosts
 * @param workers number of concurrent requests
 * @param adapters number of adapters, named {@code adapter-0} and so on
 * @param duration time during which requests are sent
 * @param deadline time from a request to its deadline
 */
public record ChatTrafficPlan(long seed, int workers, int adapters, Duration duration, Duration deadline) {}
