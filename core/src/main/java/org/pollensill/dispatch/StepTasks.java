package org.pollensill.dispatch;

import java.util.BitSet;
import java.util.Iterator;
import java.util.NoSuchElementException;

import org.pollensill.admission.JobMemory;

/**
 * The tasks of a step. A task has an object from its first placement until it is done; before and after that the step
 * keeps a bit and its last run. The members of gangs and long-running tasks have objects all the time, since they wait
 * and run as individuals. Iteration is over the tasks that have an object.
 */
final class StepTasks implements Iterable<TaskState> {

    private static final TaskState[] NONE = {};

    private final StepState step;
    private final int firstOrdinal;
    private final boolean individual;
    /** The objects by index, empty before the first one is created. */
    private TaskState[] objects = NONE;
    /** The tasks that are done and whose objects are gone, and their last runs. */
    private final BitSet retired = new BitSet(0);

    private short[] retiredRuns = {};
    private int objectCount;
    /** All tasks before it have an object or are done. */
    private int firstUntouchedHint;

    StepTasks(StepState step, int firstOrdinal) {
        this.step = step;
        this.firstOrdinal = firstOrdinal;
        this.individual = JobMemory.isIndividual(step.spec);
        for (int i = 0; individual && i < size(); i++) {
            get(i);
        }
    }

    /** Returns the number of tasks of the step, whether they have an object or not. */
    int size() {
        return step.spec.count();
    }

    /** Returns the number of a task in its job. */
    int ordinal(int index) {
        return firstOrdinal + index;
    }

    /** Returns a task, creating its object if it has none. That of a task that is done describes it and changes nothing. */
    TaskState get(int index) {
        if (retired.get(index)) {
            TaskState done = new TaskState(step, index, ordinal(index));
            done.phase = TaskState.Phase.DONE;
            done.run = retiredRuns[index];
            return done;
        }
        if (objects.length == 0) {
            objects = new TaskState[size()];
        }
        if (objects[index] == null) {
            objects[index] = new TaskState(step, index, ordinal(index));
            objectCount++;
        }
        return objects[index];
    }

    /** Drops the object of a task that is done. */
    void retire(TaskState task) {
        if (individual) {
            return;
        }
        int index = task.name.index();
        if (retired.get(index)) {
            return;
        }
        if (retiredRuns.length == 0) {
            retiredRuns = new short[size()];
        }
        retired.set(index);
        retiredRuns[index] = storedRun(task);
        objects[index] = null;
        objectCount--;
    }

    /** Returns whether a task was placed at least once. */
    boolean wasPlaced(int index) {
        return retired.get(index) ? retiredRuns[index] > 0 : hasObject(index) && objects[index].run > 0;
    }

    /** Returns the last run of a task, 0 if it was never placed. */
    short lastRun(int index) {
        if (retired.get(index)) {
            return retiredRuns[index];
        }
        return hasObject(index) ? storedRun(objects[index]) : 0;
    }

    private static short storedRun(TaskState task) {
        return (short) Math.min(Short.MAX_VALUE, task.run);
    }

    private boolean hasObject(int index) {
        return objects.length > 0 && objects[index] != null;
    }

    /** Returns the number of tasks that have an object. */
    int objectCount() {
        return objectCount;
    }

    /** Returns the memory that the step takes for its tasks besides their objects. */
    long arrayBytes() {
        return (long) objects.length * Integer.BYTES + (long) retiredRuns.length * Short.BYTES;
    }

    /** Returns the number of tasks that were never placed and have no object. */
    int untouched() {
        return size() - objectCount - retired.cardinality();
    }

    /** Returns the index of the first task that was never placed and has no object, the number of tasks if there is none. */
    int firstUntouched(int from) {
        int index = Math.max(from, firstUntouchedHint);
        while (index < size() && (hasObject(index) || retired.get(index))) {
            index++;
        }
        if (from <= firstUntouchedHint) {
            firstUntouchedHint = index;
        }
        return index;
    }

    /**
     * Returns the tasks that wait and may be placed, without a claim on capacity. Those that have no object get one as
     * they are returned, or are left out.
     */
    Iterator<TaskState> unclaimed(long nowMs, boolean mayCreate) {
        return new Iterator<>() {
            private int index;

            private boolean isUnclaimed(int candidate) {
                if (!hasObject(candidate)) {
                    return mayCreate && !retired.get(candidate);
                }
                TaskState task = objects[candidate];
                return task.isPlaceable(nowMs) && task.claimedRunner == null;
            }

            @Override
            public boolean hasNext() {
                while (index < size() && !isUnclaimed(index)) {
                    index++;
                }
                return index < size();
            }

            @Override
            public TaskState next() {
                if (!hasNext()) {
                    throw new NoSuchElementException("no further task waits");
                }
                return get(index++);
            }
        };
    }

    @Override
    public Iterator<TaskState> iterator() {
        return new Iterator<>() {
            private int index;

            @Override
            public boolean hasNext() {
                while (index < objects.length && objects[index] == null) {
                    index++;
                }
                return index < objects.length;
            }

            @Override
            public TaskState next() {
                if (!hasNext()) {
                    throw new NoSuchElementException("no further task has an object");
                }
                return objects[index++];
            }
        };
    }
}
