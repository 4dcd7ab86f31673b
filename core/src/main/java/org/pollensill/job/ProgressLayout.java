package org.pollensill.job;

/**
 * How the stored progress of a job is divided into rows, so that no row exceeds the store's limit whatever the number of
 * tasks. The tasks are numbered by occurrence, step and index. Row 0 holds the state of the job and the first tasks;
 * each further row holds the next {@link #TASKS_PER_ROW}.
 *
 * <p>A row has at most {@code 40 + TASKS_PER_ROW * (75 + MAX_RUNNER_ID_BYTES + MAX_CHECKPOINT_BYTES)} bytes, where 75
 * covers the numbers and separators of a task and 40 the state of the job.
 */
public final class ProgressLayout {

    /** Maximum number of tasks in a row. */
    public static final int TASKS_PER_ROW = 48;

    /** Maximum encoded size of a runner's identity: a key of the store has 200 bytes, of which each may be escaped. */
    public static final int MAX_RUNNER_ID_BYTES = 400;

    /** Maximum encoded size of a checkpoint that is recorded. */
    public static final int MAX_CHECKPOINT_BYTES = 800;

    private static final char SEPARATOR = '.';

    private ProgressLayout() {}

    /**
     * Returns the number of the row that holds a task.
     *
     * @param ordinal the number of the task in the job
     * @return the number of the row, 0 for the one that also holds the state of the job
     */
    public static int rowOf(int ordinal) {
        return ordinal / TASKS_PER_ROW;
    }

    /**
     * Returns the name of a row.
     *
     * @param jobId the job
     * @param row the number of the row
     * @return the name, the job's identity for row 0
     */
    public static String rowName(String jobId, int row) {
        return row == 0 ? jobId : jobId + SEPARATOR + row;
    }

    /**
     * Returns the job that a row belongs to.
     *
     * @param rowName the name of the row
     * @return the job's identity
     */
    public static String jobId(String rowName) {
        int separator = rowName.indexOf(SEPARATOR);
        return separator < 0 ? rowName : rowName.substring(0, separator);
    }

    /**
     * Returns the number of a row.
     *
     * @param rowName the name of the row
     * @return the number, -1 if the name is not that of a row
     */
    public static int row(String rowName) {
        int separator = rowName.indexOf(SEPARATOR);
        if (separator < 0) {
            return 0;
        }
        try {
            return Integer.parseUnsignedInt(rowName.substring(separator + 1));
        } catch (NumberFormatException e) {
            // Another writer's row; the caller skips it.
            return -1;
        }
    }
}
