package org.pollensill.job;

import java.lang.reflect.Array;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The final states of ended jobs, in some 23 bytes each: what a leader keeps of a job until its rows are deleted. The
 * jobs lie in a ring in the order in which they ended, and an index finds them by their identity.
 */
public final class EndedJobs {

    private static final int ID_LENGTH = 16;
    private static final int BITS_PER_DIGIT = 4;
    private static final int INITIAL_CAPACITY = 256;
    private static final int RADIX = 16;

    /** The index has two entries a slot of the ring, so that probes are short. */
    private static final int INDEX_FACTOR = 2;

    private static final JobStatus[] STATUSES = JobStatus.values();
    private static final byte REMOVED = -1;

    /** Marks the state of a job of which the store holds nothing else. */
    private static final byte COMPACT = 1 << 4;

    /** A position among the jobs in the order in which they ended; each job is taken once through it. */
    public static final class Cursor {
        private long number;

        /** Creates a cursor before the first job. */
        public Cursor() {}
    }

    /** An identity as a number, with the places of its capital letters: two that differ by them are two jobs. */
    private record PackedId(long digits, short capitals) {

        static Optional<PackedId> of(String id) {
            if (id.length() != ID_LENGTH) {
                return Optional.empty();
            }
            long digits = 0;
            int capitals = 0;
            for (int i = 0; i < ID_LENGTH; i++) {
                char character = id.charAt(i);
                int digit = character < 128 ? Character.digit(character, RADIX) : -1;
                if (digit < 0) {
                    return Optional.empty();
                }
                digits = digits << BITS_PER_DIGIT | digit;
                capitals |= Character.isUpperCase(character) ? 1 << i : 0;
            }
            return Optional.of(new PackedId(digits, (short) capitals));
        }

        static String format(long digits, short capitals) {
            char[] id = new char[ID_LENGTH];
            for (int i = 0; i < ID_LENGTH; i++) {
                int digit = (int) (digits >>> (ID_LENGTH - 1 - i) * BITS_PER_DIGIT) & (RADIX - 1);
                char character = Character.forDigit(digit, RADIX);
                id[i] = (capitals >> i & 1) != 0 ? Character.toUpperCase(character) : character;
            }
            return new String(id);
        }
    }

    private long[] digits = new long[INITIAL_CAPACITY];
    private short[] capitals = new short[INITIAL_CAPACITY];
    private byte[] statuses = new byte[INITIAL_CAPACITY];
    private long[] endedAtMs = new long[INITIAL_CAPACITY];
    /** Slots of the ring plus one, by hash; 0 where there is none. */
    private int[] index = new int[INDEX_FACTOR * INITIAL_CAPACITY];

    /** Numbers of the oldest job and of the next one to be added; a job lies in the slot of its number. */
    private long first;

    private long next;
    private int size;

    /** Creates an empty collection. */
    public EndedJobs() {}

    /**
     * Returns whether a text is the identity of a job: 16 hexadecimal digits.
     *
     * @param id the text
     * @return whether a job may have this identity
     */
    public static boolean isJobId(String id) {
        return PackedId.of(id).isPresent();
    }

    /**
     * Adds a job; has no effect if it is there.
     *
     * @param id the identity of the job
     * @param status its final state
     * @param atMs when it ended
     * @throws IllegalArgumentException if the identity is not that of a job
     */
    public void add(String id, JobStatus status, long atMs) {
        Objects.requireNonNull(status, "status is null");
        PackedId packed = PackedId.of(id).orElseThrow(() -> new IllegalArgumentException("not a job: " + id));
        if (slotOf(packed) >= 0) {
            return;
        }
        if (next - first == digits.length) {
            grow();
        }
        int slot = slot(next++);
        digits[slot] = packed.digits();
        capitals[slot] = packed.capitals();
        statuses[slot] = (byte) status.ordinal();
        endedAtMs[slot] = atMs;
        size++;
        addToIndex(slot);
    }

    /**
     * Returns the final state of a job.
     *
     * @param id the identity of the job
     * @return the state, empty if the job is not among these
     */
    public Optional<JobStatus> status(String id) {
        Optional<PackedId> packed = PackedId.of(id);
        int slot = packed.isEmpty() ? -1 : slotOf(packed.get());
        return slot < 0 ? Optional.empty() : Optional.of(STATUSES[statuses[slot] & ~COMPACT]);
    }

    /**
     * Removes a job, if it is there.
     *
     * @param id the identity of the job
     */
    public void remove(String id) {
        Optional<PackedId> packed = PackedId.of(id);
        int slot = packed.isEmpty() ? -1 : slotOf(packed.get());
        if (slot < 0) {
            return;
        }
        removeFromIndex(slot);
        statuses[slot] = REMOVED;
        size--;
        while (first < next && statuses[slot(first)] == REMOVED) {
            first++;
        }
    }

    /**
     * Records that the store holds only the final state of a job, without its steps and progress.
     *
     * @param id the identity of the job
     */
    public void markCompact(String id) {
        Optional<PackedId> packed = PackedId.of(id);
        int slot = packed.isEmpty() ? -1 : slotOf(packed.get());
        if (slot >= 0) {
            statuses[slot] |= COMPACT;
        }
    }

    /**
     * Returns whether the store holds only the final state of a job.
     *
     * @param id the identity of the job
     * @return whether it was marked so
     */
    public boolean isCompact(String id) {
        Optional<PackedId> packed = PackedId.of(id);
        int slot = packed.isEmpty() ? -1 : slotOf(packed.get());
        return slot >= 0 && (statuses[slot] & COMPACT) != 0;
    }

    /**
     * Takes jobs that ended before a time, those that ended first.
     *
     * @param cursor the position from which on they are taken
     * @param timeMs the time
     * @param max the maximum number
     * @return their identities
     */
    public List<String> takeEndedBefore(Cursor cursor, long timeMs, int max) {
        List<String> taken = new ArrayList<>();
        cursor.number = Math.max(first, cursor.number);
        while (cursor.number < next && taken.size() < max) {
            int slot = slot(cursor.number);
            if (statuses[slot] != REMOVED && endedAtMs[slot] >= timeMs) {
                break;
            }
            cursor.number++;
            if (statuses[slot] != REMOVED) {
                taken.add(PackedId.format(digits[slot], capitals[slot]));
            }
        }
        return taken;
    }

    /**
     * Returns the number of jobs.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    private int slot(long number) {
        return (int) (number & (digits.length - 1));
    }

    private static int hash(long digits, short capitals) {
        long mixed = (digits ^ (long) capitals << 32) * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 32);
    }

    private int slotOf(PackedId id) {
        int mask = index.length - 1;
        for (int i = hash(id.digits(), id.capitals()) & mask; index[i] != 0; i = (i + 1) & mask) {
            int slot = index[i] - 1;
            if (digits[slot] == id.digits() && capitals[slot] == id.capitals()) {
                return slot;
            }
        }
        return -1;
    }

    private void addToIndex(int slot) {
        int mask = index.length - 1;
        int i = hash(digits[slot], capitals[slot]) & mask;
        while (index[i] != 0) {
            i = (i + 1) & mask;
        }
        index[i] = slot + 1;
    }

    /** Removes an entry and moves those behind it that would no longer be found. */
    private void removeFromIndex(int slot) {
        int mask = index.length - 1;
        int hole = hash(digits[slot], capitals[slot]) & mask;
        while (index[hole] != slot + 1) {
            hole = (hole + 1) & mask;
        }
        for (int i = (hole + 1) & mask; index[i] != 0; i = (i + 1) & mask) {
            int moved = index[i] - 1;
            int home = hash(digits[moved], capitals[moved]) & mask;
            if (((i - home) & mask) >= ((i - hole) & mask)) {
                index[hole] = index[i];
                hole = i;
            }
        }
        index[hole] = 0;
    }

    private void grow() {
        int former = digits.length;
        int capacity = 2 * former;
        digits = (long[]) moved(digits, new long[capacity]);
        capitals = (short[]) moved(capitals, new short[capacity]);
        statuses = (byte[]) moved(statuses, new byte[capacity]);
        endedAtMs = (long[]) moved(endedAtMs, new long[capacity]);
        // Dropped first, so that the former one does not have to fit into the heap beside it.
        index = new int[0];
        index = new int[INDEX_FACTOR * capacity];
        for (long number = first; number < next; number++) {
            if (statuses[slot(number)] != REMOVED) {
                addToIndex(slot(number));
            }
        }
    }

    /** Copies a ring to a larger array, each job to the slot of its number there. */
    private Object moved(Object ring, Object larger) {
        int length = Array.getLength(ring);
        int newLength = Array.getLength(larger);
        for (long number = first; number < next; number++) {
            System.arraycopy(ring, (int) (number & (length - 1)), larger, (int) (number & (newLength - 1)), 1);
        }
        return larger;
    }
}
