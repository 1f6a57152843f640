package org.banyanstair.cli.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;

import okhttp3.HttpUrl;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Queries hosts concurrently, because each unreachable host costs a timeout. */
public final class HostQueries {
    private static final int MAXIMUM_CONCURRENT_QUERIES = 16;

    private HostQueries() {}

    /**
     * Queries all hosts and waits for their answers.
     *
     * @param query queries one host; must be safe for concurrent use
     * @return answers by address, in the given order; empty for a host that did not answer
     * @throws FailureException with {@link Failure.Cancelled} if the thread is interrupted
     */
    public static <T> Map<HttpUrl, Optional<T>> queryAll(
            Collection<HttpUrl> addresses, Function<HttpUrl, Optional<T>> query) {
        ExecutorService executor = Executors.newFixedThreadPool(MAXIMUM_CONCURRENT_QUERIES);
        try {
            Map<HttpUrl, Future<Optional<T>>> futures = new LinkedHashMap<>();
            addresses.forEach(address -> futures.put(address, executor.submit(() -> query.apply(address))));
            Map<HttpUrl, Optional<T>> answers = new LinkedHashMap<>();
            for (Map.Entry<HttpUrl, Future<Optional<T>>> future : futures.entrySet()) {
                answers.put(future.getKey(), future.getValue().get());
            }
            return answers;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new FailureException(new Failure.Cancelled());
        } catch (ExecutionException exception) {
            throw new IllegalStateException("host query threw an exception", exception);
        } finally {
            executor.shutdownNow();
        }
    }
}
