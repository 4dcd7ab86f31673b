package org.pollensill.burn;

import java.util.Objects;

/** Counts of requests by verdict and cause. Not thread-safe. */
final class BurnCounts {

    private static final int CAUSES = Cause.values().length;

    /** The first cell counts requests that met the bound; the others count bad requests by verdict and cause. */
    static final int CELLS = 1 + (Verdict.values().length - 1) * CAUSES;

    private final long[] cells = new long[CELLS];

    static int cell(Verdict verdict, Cause cause) {
        return verdict == Verdict.MET ? 0 : 1 + (verdict.ordinal() - 1) * CAUSES + cause.ordinal();
    }

    void add(int cell, long count) {
        cells[cell] += count;
    }

    void add(BurnCounts other) {
        Objects.requireNonNull(other, "other is null");
        for (int i = 0; i < CELLS; i++) {
            cells[i] += other.cells[i];
        }
    }

    long get(int cell) {
        return cells[cell];
    }

    long met() {
        return cells[0];
    }

    long of(Verdict verdict) {
        if (verdict == Verdict.MET) {
            return met();
        }
        long sum = 0;
        for (Cause cause : Cause.values()) {
            sum += cells[cell(verdict, cause)];
        }
        return sum;
    }

    long of(Cause cause) {
        long sum = 0;
        for (Verdict verdict : Verdict.values()) {
            sum += verdict.isBad() ? cells[cell(verdict, cause)] : 0;
        }
        return sum;
    }

    long total() {
        long sum = 0;
        for (long cell : cells) {
            sum += cell;
        }
        return sum;
    }

    long bad() {
        return total() - met();
    }

    BurnCounts copy() {
        BurnCounts copy = new BurnCounts();
        copy.add(this);
        return copy;
    }
}
