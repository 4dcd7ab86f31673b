package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;

/** Names of this system's tables and keys in the platform's store. */
final class Tables {

    /** Jobs as accepted, and their cancellations. */
    static final String INTAKE = "intake";

    /** Progress of jobs, written by the leader. */
    static final String PROGRESS = "progress";

    /** Key of the leader row. */
    static final String LEADER_KEY = "leader/lease";

    /** Key of what leaders have learned about the images that run. */
    static final String LEARNED_KEY = "leader/learned";

    private static final String CANCEL_SUFFIX = ".cancel";

    private Tables() {}

    /** Returns the partitions of the accepted jobs; a part takes its transactions one after the other. */
    static List<String> intakePartitions() {
        List<String> partitions = new ArrayList<>();
        for (char digit : "0123456789abcdef".toCharArray()) {
            partitions.add(INTAKE + "@" + digit);
        }
        return partitions;
    }

    /** Returns the partition of a job: by the first digit of its identity, so that any coordinator finds it. */
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

    /** Returns the job that a key of either table belongs to. */
    static String jobId(String key) {
        String name = key.substring(key.indexOf('/') + 1);
        return isCancel(name) ? name.substring(0, name.length() - CANCEL_SUFFIX.length()) : name;
    }
}
