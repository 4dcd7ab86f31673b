package org.pollensill.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Hashed timing wheel with buckets of equal width. Scheduling and cancelling a timer take constant time, unlike with a
 * heap of the deadlines of all requests in progress.
 *
 * @param <T> type of the value that is returned when a timer expires
 */
final class TimerWheel<T> {

    /** Bucket width of 2^22 ns, about 4 ms. The daemon's ticks are no finer, so smaller buckets have no effect. */
    private static final int BUCKET_SHIFT = 22;

    private static final int BUCKET_COUNT = 1024;

    static final class Timer<T> {
        private final T value;
        private final long atNs;
        private Timer<T> previous;
        private Timer<T> next;

        private Timer(T value, long atNs) {
            this.value = value;
            this.atNs = atNs;
        }
    }

    private final List<Timer<T>> buckets = new ArrayList<>(BUCKET_COUNT);
    private long currentBucket;

    TimerWheel(long nowNs) {
        currentBucket = nowNs >> BUCKET_SHIFT;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            Timer<T> head = new Timer<>(null, 0);
            head.previous = head;
            head.next = head;
            buckets.add(head);
        }
    }

    Timer<T> schedule(T value, long atNs) {
        Timer<T> timer = new Timer<>(Objects.requireNonNull(value, "value is null"), atNs);
        // A time in the past goes into the first bucket that the next call of expire examines.
        Timer<T> head = buckets.get((int) (Math.max(atNs >> BUCKET_SHIFT, currentBucket) & (BUCKET_COUNT - 1)));
        timer.previous = head.previous;
        timer.next = head;
        head.previous.next = timer;
        head.previous = timer;
        return timer;
    }

    void cancel(Timer<T> timer) {
        if (timer.next == null) {
            return;
        }
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        timer.next = null;
        timer.previous = null;
    }

    /** Removes and returns the expired timers. Timers of a later rotation of the wheel stay in their buckets. */
    List<T> expire(long nowNs) {
        long nowBucket = nowNs >> BUCKET_SHIFT;
        List<T> expired = new ArrayList<>();
        long first = Math.max(currentBucket, nowBucket - BUCKET_COUNT + 1);
        for (long bucket = first; bucket <= nowBucket; bucket++) {
            Timer<T> head = buckets.get((int) (bucket & (BUCKET_COUNT - 1)));
            Timer<T> timer = head.next;
            while (timer != head) {
                Timer<T> following = timer.next;
                if (timer.atNs - nowNs <= 0) {
                    cancel(timer);
                    expired.add(timer.value);
                }
                timer = following;
            }
        }
        currentBucket = Math.max(currentBucket, nowBucket);
        return expired;
    }
}
