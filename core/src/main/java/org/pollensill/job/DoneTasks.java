package org.pollensill.job;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/** Records of tasks that are done, packed into eight bytes each, since nearly all tasks of a large job may be done. */
final class DoneTasks {

    private static final int INDEX_BITS = 16;
    private static final int STEP_BITS = 16;
    private static final int OCCURRENCE_BITS = 16;
    private static final int RUN_BITS = 15;
    private static final int INITIAL_CAPACITY = 16;

    private long[] packed = {};
    private int size;

    /** Adds a record if it can be packed: that of a task that is done, without a runner. */
    boolean add(TaskRecord task) {
        boolean packable = task.done()
                && task.assignedRunner().isEmpty()
                && task.checkpoint().isEmpty()
                && task.failures() == 0
                && fits(task.occurrence(), OCCURRENCE_BITS)
                && fits(task.step(), STEP_BITS)
                && fits(task.index(), INDEX_BITS)
                && fits(task.run(), RUN_BITS);
        if (!packable) {
            return false;
        }
        if (size == packed.length) {
            packed = Arrays.copyOf(packed, Math.max(INITIAL_CAPACITY, size + size / 2));
        }
        long value = task.occurrence();
        value = value << STEP_BITS | task.step();
        value = value << INDEX_BITS | task.index();
        value = value << RUN_BITS | task.run();
        packed[size++] = value;
        return true;
    }

    private static boolean fits(int number, int bits) {
        return number >= 0 && number < 1 << bits;
    }

    void forEach(Consumer<TaskRecord> action) {
        for (int i = 0; i < size; i++) {
            long value = packed[i];
            int run = low(value, RUN_BITS);
            value >>>= RUN_BITS;
            int index = low(value, INDEX_BITS);
            value >>>= INDEX_BITS;
            int step = low(value, STEP_BITS);
            value >>>= STEP_BITS;
            action.accept(new TaskRecord((int) value, step, index, true, run, 0, "", Optional.empty()));
        }
    }

    private static int low(long value, int bits) {
        return (int) (value & (1L << bits) - 1);
    }
}
