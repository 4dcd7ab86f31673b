package org.pollensill.burn;

import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

/**
 * Time series of request counts. Recent buckets are one minute wide and older ones wider, so that a year takes about
 * 500 buckets at most, and the edge of a window is inexact by a sixtieth to a fifth of the window. Not thread-safe.
 */
final class BurnSeries {

    private static final long MINUTE_MS = 60_000;

    /** Pairs of a bucket width and the max age of buckets of that width. */
    private static final int[][] TIERS_MINUTES = {{1, 65}, {15, 7 * 60}, {60, 75 * 60}, {24 * 60, 367 * 24 * 60}};

    private final TreeMap<Long, Bucket> buckets = new TreeMap<>();

    /** Counts of one interval, which starts at the bucket's key. */
    private static final class Bucket {

        private int widthMinutes;
        private final BurnCounts counts = new BurnCounts();

        Bucket(int widthMinutes) {
            this.widthMinutes = widthMinutes;
        }
    }

    void add(int cell, long count, long nowMs) {
        add(Math.floorDiv(nowMs, MINUTE_MS), 1, cell, count);
    }

    private void add(long startMinute, int widthMinutes, int cell, long count) {
        Bucket bucket = buckets.computeIfAbsent(startMinute, absent -> new Bucket(widthMinutes));
        bucket.widthMinutes = Math.max(bucket.widthMinutes, widthMinutes);
        bucket.counts.add(cell, count);
    }

    /** Adds all counts of another series. */
    void add(BurnSeries other) {
        other.buckets.forEach((startMinute, bucket) -> {
            for (int cell = 0; cell < BurnCounts.CELLS; cell++) {
                if (bucket.counts.get(cell) != 0) {
                    add(startMinute, bucket.widthMinutes, cell, bucket.counts.get(cell));
                }
            }
        });
    }

    /** Subtracts the counts of an earlier copy of this series. */
    void subtract(BurnSeries earlier, long nowMs) {
        compact(nowMs);
        BurnSeries compacted = earlier.copy();
        compacted.compact(nowMs);
        compacted.buckets.forEach((startMinute, bucket) -> {
            Bucket own = buckets.get(startMinute);
            if (own == null) {
                return;
            }
            for (int cell = 0; cell < BurnCounts.CELLS; cell++) {
                long remaining = own.counts.get(cell) - bucket.counts.get(cell);
                own.counts.add(cell, Math.max(0, remaining) - own.counts.get(cell));
            }
        });
        buckets.values().removeIf(bucket -> bucket.counts.total() == 0);
    }

    /**
     * Merges old buckets into wider ones and drops those that are older than any window. Aligning a bucket to a wider
     * grid moves its start back, which can make it old enough for the next width; this repeats until the start no longer
     * changes. Two copies of a series that were compacted at different times then have the same buckets, on which
     * {@link #subtract} relies.
     */
    void compact(long nowMs) {
        long nowMinute = Math.floorDiv(nowMs, MINUTE_MS);
        for (Map.Entry<Long, Bucket> entry : new ArrayList<>(buckets.entrySet())) {
            long startMinute = entry.getKey();
            Bucket bucket = entry.getValue();
            long alignedStartMinute = startMinute;
            int widthMinutes = Math.max(widthForAge(nowMinute - alignedStartMinute), bucket.widthMinutes);
            while (Math.floorDiv(startMinute, widthMinutes) * widthMinutes != alignedStartMinute) {
                alignedStartMinute = Math.floorDiv(startMinute, widthMinutes) * widthMinutes;
                widthMinutes = Math.max(widthMinutes, widthForAge(nowMinute - alignedStartMinute));
            }
            if (widthForAge(nowMinute - startMinute) == 0) {
                buckets.remove(startMinute);
            } else if (alignedStartMinute != startMinute || widthMinutes != bucket.widthMinutes) {
                buckets.remove(startMinute);
                for (int cell = 0; cell < BurnCounts.CELLS; cell++) {
                    if (bucket.counts.get(cell) != 0) {
                        add(alignedStartMinute, widthMinutes, cell, bucket.counts.get(cell));
                    }
                }
            }
        }
    }

    private static int widthForAge(long ageMinutes) {
        for (int[] tier : TIERS_MINUTES) {
            if (ageMinutes <= tier[1]) {
                return tier[0];
            }
        }
        return 0;
    }

    /** Returns the sum of the counts in a window that ends now. */
    BurnCounts sum(long windowMs, long nowMs) {
        long fromMinute = Math.floorDiv(nowMs - windowMs, MINUTE_MS);
        BurnCounts sum = new BurnCounts();
        // A bucket is included if more than half of it lies within the window.
        buckets.forEach((startMinute, bucket) -> {
            if (startMinute + bucket.widthMinutes / 2 > fromMinute) {
                sum.add(bucket.counts);
            }
        });
        return sum;
    }

    /** Returns the sum of the buckets that start in a period. */
    BurnCounts between(long fromMs, long toMs) {
        long fromMinute = Math.floorDiv(fromMs, MINUTE_MS);
        long toMinute = Math.floorDiv(toMs, MINUTE_MS);
        BurnCounts sum = new BurnCounts();
        buckets.subMap(fromMinute, true, Math.max(fromMinute, toMinute), false)
                .values()
                .forEach(bucket -> sum.add(bucket.counts));
        return sum;
    }

    BurnSeries copy() {
        BurnSeries copy = new BurnSeries();
        copy.add(this);
        return copy;
    }

    int size() {
        return buckets.size();
    }

    /** Encodes the buckets as {@code minute,width,cell:count,...} in base 36, separated by semicolons. */
    String encode() {
        StringBuilder text = new StringBuilder();
        buckets.forEach((startMinute, bucket) -> {
            text.append(text.length() == 0 ? "" : ";")
                    .append(Long.toString(startMinute, Character.MAX_RADIX))
                    .append(',')
                    .append(Integer.toString(bucket.widthMinutes, Character.MAX_RADIX));
            for (int cell = 0; cell < BurnCounts.CELLS; cell++) {
                if (bucket.counts.get(cell) != 0) {
                    text.append(',')
                            .append(Integer.toString(cell, Character.MAX_RADIX))
                            .append(':')
                            .append(Long.toString(bucket.counts.get(cell), Character.MAX_RADIX));
                }
            }
        });
        return text.toString();
    }

    /** Decodes a series. Cells unknown to this version are counted as failed with cause {@link Cause#OTHER}. */
    static BurnSeries decode(String text) {
        BurnSeries series = new BurnSeries();
        if (text.isEmpty()) {
            return series;
        }
        for (String encodedBucket : text.split(";")) {
            String[] fields = encodedBucket.split(",");
            long startMinute = Long.parseLong(fields[0], Character.MAX_RADIX);
            int widthMinutes = Integer.parseInt(fields[1], Character.MAX_RADIX);
            for (int i = 2; i < fields.length; i++) {
                int colon = fields[i].indexOf(':');
                int cell = Integer.parseInt(fields[i].substring(0, colon), Character.MAX_RADIX);
                long count = Long.parseLong(fields[i].substring(colon + 1), Character.MAX_RADIX);
                boolean known = cell >= 0 && cell < BurnCounts.CELLS;
                series.add(
                        startMinute, widthMinutes, known ? cell : BurnCounts.cell(Verdict.FAILED, Cause.OTHER), count);
            }
        }
        return series;
    }
}
