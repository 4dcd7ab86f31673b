package org.pollensill.upstream;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.locks.Lock;
import java.util.function.Function;

/**
 * Connection limits of the upstreams of a pool: at most one connection per slot and one for probes. Must be consulted
 * before a connection is opened. Thread-safe; takes the {@code upstreams} lock and no other.
 */
public final class UpstreamConnections {

    private final SlotTable table;
    private final Lock lock;

    /**
     * Creates the connection limits of a table.
     *
     * @param table the table
     * @param lock the lock that guards the table
     */
    public UpstreamConnections(SlotTable table, Lock lock) {
        this.table = Objects.requireNonNull(table, "table is null");
        this.lock = Objects.requireNonNull(lock, "lock is null");
    }

    /**
     * Counts a connection for requests as about to be opened.
     *
     * @param upstream the upstream's name
     * @return whether it may be opened
     */
    public boolean open(String upstream) {
        return withUpstream(upstream, table::openConnection);
    }

    /**
     * Counts a connection for requests as closed, after it was closed or could not be opened.
     *
     * @param upstream the upstream's name
     */
    public void closed(String upstream) {
        withUpstream(upstream, target -> {
            table.closeConnection(target);
            return true;
        });
    }

    /**
     * Counts the connection for probes as about to be opened.
     *
     * @param upstream the upstream's name
     * @return whether it may be opened
     */
    public boolean openProbe(String upstream) {
        return withUpstream(upstream, target -> table.setProbeConnection(target, true));
    }

    /**
     * Counts the connection for probes as closed.
     *
     * @param upstream the upstream's name
     */
    public void probeClosed(String upstream) {
        withUpstream(upstream, target -> table.setProbeConnection(target, false));
    }

    /**
     * Returns the status of each upstream.
     *
     * @return a snapshot of the statuses
     */
    public List<UpstreamStatus> status() {
        lock.lock();
        try {
            return table.upstreams().stream().map(UpstreamStatus::of).toList();
        } finally {
            lock.unlock();
        }
    }

    private boolean withUpstream(String name, Function<Upstream, Boolean> action) {
        lock.lock();
        try {
            return table.upstream(name).map(action).orElse(false);
        } finally {
            lock.unlock();
        }
    }
}
