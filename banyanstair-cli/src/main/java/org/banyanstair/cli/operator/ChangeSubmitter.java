package org.banyanstair.cli.operator;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import okhttp3.HttpUrl;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Operation;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.HostId;

/** Submits operations as changes, resolves unknown outcomes, and waits until a version is in force. */
public final class ChangeSubmitter {
    private static final long POLL_INTERVAL_MILLISECONDS = 200;

    private final OperatorClient client;
    private final Console console;
    private final Duration waitTimeout;

    /**
     * Creates a submitter.
     *
     * @param console receives notes and progress
     * @param waitTimeout timeout of resolving an unknown outcome, and of waiting for a version
     */
    public ChangeSubmitter(OperatorClient client, Console console, Duration waitTimeout) {
        this.client = client;
        this.console = console;
        this.waitTimeout = waitTimeout;
    }

    /**
     * Submits operations, in several changes if they do not fit into one.
     *
     * @param baseVersion version that the operations are based on
     * @return the version that the last change created
     * @throws FailureException with the failure of the first change that was not accepted
     */
    public long submit(long baseVersion, List<Operation> operations) {
        List<List<Operation>> parts = ChangeSplitter.split(operations);
        if (parts.size() > 1) {
            console.printNote(Messages.format("apply.parts", operations.size(), parts.size()));
        }
        long version = baseVersion;
        for (int part = 0; part < parts.size(); part++) {
            try {
                version = submitPart(version, parts.get(part));
            } catch (FailureException exception) {
                if (part > 0) {
                    console.printNote(Messages.format("apply.stopped", part, parts.size(), version));
                }
                throw exception;
            }
            console.showProgress(Messages.format("apply.progress", part + 1, parts.size(), version));
        }
        return version;
    }

    private long submitPart(long baseVersion, List<Operation> operations) {
        String changeId = UUID.randomUUID().toString();
        String author = System.getProperty("user.name", "unknown");
        ChangeVerdict verdict;
        try {
            verdict = client.submit(new ConfigurationChange(changeId, baseVersion, author, operations));
        } catch (FailureException exception) {
            if (!(exception.failure() instanceof Failure.ChangeOutcomeUnknown)) {
                throw exception;
            }
            verdict = new ChangeVerdict.Refused(exception.failure());
        }
        return acceptedVersion(isUnknown(verdict) ? resolveOutcome(changeId) : verdict);
    }

    private static boolean isUnknown(ChangeVerdict verdict) {
        return verdict instanceof ChangeVerdict.Refused refused
                && refused.failure() instanceof Failure.ChangeOutcomeUnknown;
    }

    private static long acceptedVersion(ChangeVerdict verdict) {
        if (verdict instanceof ChangeVerdict.Refused refused) {
            throw new FailureException(refused.failure());
        }
        return ((ChangeVerdict.Accepted) verdict).version();
    }

    /**
     * Polls all hosts for the verdict on a change whose outcome is unknown. The change is not submitted again, because the
     * first submission may still be accepted.
     */
    private ChangeVerdict resolveOutcome(String changeId) {
        console.printNote(Messages.format("apply.unknown", changeId));
        Instant deadline = Instant.now().plus(waitTimeout);
        do {
            Optional<ChangeVerdict> verdict =
                    HostQueries.queryAll(hostAddresses(), address -> client.verdict(address, changeId))
                            .values()
                            .stream()
                            .flatMap(Optional::stream)
                            .filter(found -> !isUnknown(found))
                            .findFirst();
            if (verdict.isPresent()) {
                return verdict.get();
            }
        } while (sleepUntilNextPoll(deadline));
        return new ChangeVerdict.Refused(new Failure.ChangeOutcomeUnknown(changeId));
    }

    private Set<HttpUrl> hostAddresses() {
        Set<HttpUrl> addresses = new LinkedHashSet<>(client.addresses());
        try {
            client.status().hosts().forEach(host -> addresses.add(OperatorUrl.forHost(host)));
        } catch (FailureException exception) {
            // The configured addresses are still queried; the next poll reads the host list again.
            return addresses;
        }
        return addresses;
    }

    /**
     * Waits until all live hosts report a version.
     *
     * @return live hosts that did not report the version before the timeout; empty if all did
     * @throws FailureException if the last read of the host states before the timeout failed
     */
    public List<HostId> awaitVersionOnLiveHosts(long version) {
        Instant deadline = Instant.now().plus(waitTimeout);
        Optional<FailureException> lastFailure;
        List<HostId> missing = List.of();
        do {
            try {
                ClusterStatus status = client.status();
                missing = status.hostsBelowVersion(version);
                lastFailure = Optional.empty();
                if (missing.isEmpty()) {
                    return missing;
                }
                console.showProgress(Messages.format("apply.waiting", version, missing.size(), missing));
            } catch (FailureException exception) {
                lastFailure = Optional.of(exception);
            }
        } while (sleepUntilNextPoll(deadline));
        if (lastFailure.isPresent()) {
            throw lastFailure.get();
        }
        return missing;
    }

    /** Sleeps until the next poll; returns false if the deadline has passed or the thread is interrupted. */
    private boolean sleepUntilNextPoll(Instant deadline) {
        if (!Instant.now().isBefore(deadline)) {
            return false;
        }
        try {
            Thread.sleep(POLL_INTERVAL_MILLISECONDS);
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
