package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.banyanstair.forwarding.DecisionRecord;

/**
 * Bounds the memory that a host holds for callers and endpoints, by kind.
 *
 * <p>When a limit is exceeded, the account that holds the most for the longest time without progress is evicted, so
 * that the many small and moving ones can complete. Has no I/O. Used on the event loop thread only.
 */
public final class ConnectionMemoryBudget {
    /**
     * Time without progress up to which accounts are compared by size alone. Otherwise a small response that just
     * pauses would be evicted instead of an endless one.
     */
    private static final Duration MINIMUM_STALL = Duration.ofSeconds(1);

    /**
     * Time without progress after which a whole response that its caller does not read is evicted before any other. A
     * caller on a link of 7 Mbit/s takes some tens of kilobytes in this time.
     */
    private static final Duration UNREAD_PERIOD = Duration.ofMillis(200);

    private final InstantSource clock;
    private final Map<Kind, Pool> pools = new EnumMap<>(Kind.class);
    private final MemoryEvictions evictions;

    /** What memory is held for. */
    public enum Kind {
        /** Bodies of callers' requests. */
        REQUEST,
        /** Responses that are being buffered or that their callers have not read. */
        RESPONSE,
        /** Bytes that are queued at the sockets of callers. */
        OUTPUT
    }

    /** The accounts of a kind that hold something. */
    private static final class Pool {
        private final Kind kind;
        private final long limitBytes;
        private final Set<Account> accounts = new LinkedHashSet<>();
        private long heldBytes;
        private long promisedBytes;

        Pool(Kind kind, long limitBytes) {
            this.kind = kind;
            this.limitBytes = limitBytes;
        }
    }

    /** Creates an empty budget that logs nothing. */
    public ConnectionMemoryBudget(MemoryLimits limits, InstantSource clock) {
        this(limits, clock, record -> {});
    }

    /**
     * Creates an empty budget.
     *
     * @param log receives a bounded number of decisions about evictions
     */
    public ConnectionMemoryBudget(MemoryLimits limits, InstantSource clock, Consumer<DecisionRecord> log) {
        this.clock = clock;
        this.evictions = new MemoryEvictions(clock, log);
        pools.put(Kind.REQUEST, new Pool(Kind.REQUEST, limits.requestBytes()));
        pools.put(Kind.RESPONSE, new Pool(Kind.RESPONSE, limits.responseBytes()));
        pools.put(Kind.OUTPUT, new Pool(Kind.OUTPUT, limits.outputBytes()));
    }

    /**
     * Opens an account that holds nothing.
     *
     * @param eviction drops what the account holds; runs at most once, and the account counts nothing afterwards
     */
    Account open(Kind kind, Runnable eviction) {
        return new Account(pools.get(kind), Optional.of(eviction), false);
    }

    /**
     * Opens an account for what only its caller has to read, so that its eviction harms nobody else.
     *
     * @param eviction as for {@link #open}
     */
    Account openUnread(Kind kind, Runnable eviction) {
        return new Account(pools.get(kind), Optional.of(eviction), true);
    }

    /** Opens an account that is never evicted. Its bytes were admitted through another account before. */
    Account openProtected(Kind kind) {
        return new Account(pools.get(kind), Optional.empty(), false);
    }

    /** Returns the bytes that all accounts of a kind hold. */
    public long heldBytes(Kind kind) {
        return pools.get(kind).heldBytes;
    }

    /** Returns the number of accounts of a kind that were evicted since the start. */
    public long evictions(Kind kind) {
        return evictions.total(kind, MemoryEvictions.State.ARRIVING)
                + evictions.total(kind, MemoryEvictions.State.UNREAD);
    }

    /** Returns what was evicted since the start, by its state. */
    public MemoryEvictions evictions() {
        return evictions;
    }

    /** Returns whether more bytes of a kind can be held. */
    boolean fits(Kind kind, long bytes) {
        return pools.get(kind).heldBytes + bytes <= pools.get(kind).limitBytes;
    }

    /** Returns whether three quarters of a limit are in use. */
    boolean isScarce(Kind kind) {
        return pools.get(kind).heldBytes > pools.get(kind).limitBytes / 4 * 3;
    }

    /** Returns whether any account holds what only its caller has to read. */
    boolean holdsUnread(Kind kind) {
        return pools.get(kind).accounts.stream().anyMatch(account -> account.waitsForCaller);
    }

    /** Leaves a quarter for what states no length, unless nothing else is held. */
    private static boolean hasRoom(Pool pool, long bytes) {
        return pool.promisedBytes + bytes <= pool.limitBytes / 4 * 3
                || pool.promisedBytes == 0 && bytes <= pool.limitBytes;
    }

    private void evictUnreadUntilRoom(Pool pool, long bytes) {
        while (!hasRoom(pool, bytes)) {
            Optional<Account> victim =
                    pool.accounts.stream().filter(this::isUnread).min(Comparator.comparing(one -> one.progressAt));
            if (victim.isEmpty()) {
                return;
            }
            evict(victim.get());
        }
    }

    private void evictUntilWithinLimit(Pool pool) {
        while (pool.heldBytes > pool.limitBytes) {
            Optional<Account> victim = pool.accounts.stream()
                    .filter(account -> account.eviction.isPresent())
                    .max(Comparator.comparing(this::isUnread).thenComparingDouble(this::weight));
            if (victim.isEmpty()) {
                return;
            }
            evict(victim.get());
        }
    }

    private void evict(Account account) {
        boolean unread = account.waitsForCaller || account.pool.kind == Kind.OUTPUT;
        evictions.record(
                account.pool.kind,
                unread ? MemoryEvictions.State.UNREAD : MemoryEvictions.State.ARRIVING,
                account.bytes,
                Duration.between(account.progressAt, clock.instant()));
        account.evict();
    }

    private boolean isUnread(Account account) {
        return account.waitsForCaller && account.progressAt.plus(UNREAD_PERIOD).isBefore(clock.instant());
    }

    private double weight(Account account) {
        Duration stalled = Duration.between(account.progressAt, clock.instant());
        return (double) account.bytes * Math.max(MINIMUM_STALL.toMillis(), stalled.toMillis());
    }

    /** What one owner holds of a kind. */
    final class Account {
        private final Pool pool;
        private final Optional<Runnable> eviction;
        private final boolean waitsForCaller;
        private long bytes;
        private long reservedBytes;
        private Instant progressAt = Instant.MIN;
        private boolean evicted;

        private Account(Pool pool, Optional<Runnable> eviction, boolean waitsForCaller) {
            this.pool = pool;
            this.eviction = eviction;
            this.waitsForCaller = waitsForCaller;
        }

        /**
         * Reserves memory for what is going to arrive, until {@link #release}, so that the owner does not compete with
         * others while it does. Evicts whole responses that their callers do not read if there is no room.
         *
         * @return false if there is no room even so; nothing is reserved then
         */
        boolean reserve(long newBytes) {
            if (evicted) {
                return false;
            }
            long promised = promised();
            evictUnreadUntilRoom(pool, newBytes - promised);
            if (!hasRoom(pool, newBytes - promised)) {
                return false;
            }
            reservedBytes = newBytes;
            pool.promisedBytes += promised() - promised;
            return true;
        }

        private long promised() {
            return Math.max(reservedBytes, bytes);
        }

        /** Gives back all that is held and reserved. */
        void release() {
            long promised = promised();
            reservedBytes = 0;
            pool.promisedBytes += promised() - promised;
            set(0);
        }

        /** Sets the bytes that the owner holds. May evict any account, including this one. */
        void set(long newBytes) {
            if (evicted || newBytes == bytes) {
                return;
            }
            if (bytes == 0) {
                progressAt = clock.instant();
                pool.accounts.add(this);
            }
            pool.heldBytes += newBytes - bytes;
            boolean grown = newBytes > bytes;
            long promised = promised();
            bytes = newBytes;
            pool.promisedBytes += promised() - promised;
            if (bytes == 0) {
                pool.accounts.remove(this);
            }
            if (grown) {
                evictUntilWithinLimit(pool);
            }
        }

        /** Records that the other side has taken or sent some bytes. */
        void progressed() {
            progressAt = clock.instant();
        }

        private void evict() {
            release();
            evicted = true;
            eviction.orElseThrow().run();
        }
    }
}
