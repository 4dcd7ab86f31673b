package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;

/** Names of the coordinator's tables and keys in the platform's store. */
final class Tables {

    /** Table of accepted jobs and their cancellations. */
    static final String INTAKE = "intake";

    /** Table of the progress of jobs, written by the leader. */
    static final String PROGRESS = "progress";

    /** Key of the leader row. */
    static final String LEADER_KEY = "leader/lease";

    /** Key of the estimates that leaders have learned about images. */
    static final String LEARNED_KEY = "leader/learned";

    private static final String CANCEL_SUFFIX = ".cancel";

    private Tables() {}

    /** Returns the partitions of the intake table; the store serializes the transactions of a partition. */
    static List<String> intakePartitions() {
        List<String> partitions = new ArrayList<>();
        for (char digit : "0123456789abcdef".toCharArray()) {
            partitions.add(INTAKE + "@" + digit);
        }
        return partitions;
    }

    /** Returns the partition of a job, derived from the first digit of its id, so that any coordinator finds it. */
    static String intakePartition(String id) {
        return INTAKE + "@" + Character.toLowerCase(id.charAt(0));
    }

    static String jobKey(String id) {
        return intakePartition(id) + "/" + id;
    }

    static String cancelKey(String id) {
        return jobKey(id) + CANCEL_SUFFIX;
    }

    static String progressKey(String id) {
        return PROGRESS + "/" + id;
    }

    static boolean isCancel(String key) {
        return key.endsWith(CANCEL_SUFFIX);
    }

    /** Returns the id of the job that a key of the intake or progress table belongs to. */
    static String jobId(String key) {
        String name = key.substring(key.indexOf('/') + 1);
        return isCancel(name) ? name.substring(0, name.length() - CANCEL_SUFFIX.length()) : name;
    }
}
