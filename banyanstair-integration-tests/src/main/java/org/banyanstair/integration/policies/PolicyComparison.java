package org.banyanstair.integration.policies;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.SerializationFeature;
import org.banyanstair.codec.Mappers;
import org.banyanstair.placement.PlacementPolicy;

/**
 * Runs each placement policy under the load of one customer with the same seed and writes the figures to a JSON file.
 */
public final class PolicyComparison {
    /**
     * The figures of all policies under the load of a customer.
     *
     * @param seconds length of each run
     * @param fewestLoads lower bound on the adapter loads for the requests of the first run
     */
    public record Comparison(
            Customer customer, long seed, long seconds, long fewestLoads, List<PolicyFigures> policies) {}

    private PolicyComparison() {}

    /**
     * Runs the comparison.
     *
     * @param arguments customer ({@code cooperative} or {@code association}), seconds of each run, seed, result file
     * @throws IOException if the result cannot be written
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Customer customer =
                arguments[0].equals(Customer.COOPERATIVE.name()) ? Customer.COOPERATIVE : Customer.ASSOCIATION;
        Duration time = Duration.ofSeconds(Long.parseLong(arguments[1]));
        long seed = Long.parseLong(arguments[2]);
        System.out.println("customer " + customer.name() + ", seed " + seed);
        List<PolicyFigures> figures = new ArrayList<>();
        long fewestLoads = 0;
        for (String policy : PlacementPolicy.NAMES) {
            PolicyRun run = new PolicyRun(customer, policy, seed, time);
            Path directory = Files.createTempDirectory("banyanstair-policy");
            PolicyFigures result = run.run(directory);
            System.out.println(result);
            figures.add(result);
            if (fewestLoads == 0) {
                fewestLoads = OfflineBound.fewestLoads(run.trace(), run.slots());
            }
        }
        Comparison comparison = new Comparison(customer, seed, time.toSeconds(), fewestLoads, figures);
        Files.createDirectories(Path.of(arguments[3]).toAbsolutePath().getParent());
        Files.write(
                Path.of(arguments[3]),
                Mappers.JSON.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(comparison));
        System.exit(0);
    }
}
