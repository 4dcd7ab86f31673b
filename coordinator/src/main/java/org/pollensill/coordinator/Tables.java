package org.pollensill.coordinator;

/** Names of this system's tables and keys in the platform's store. */
final class Tables {

    /** Jobs as accepted, and their cancellations. */
    static final String INTAKE = "intake";

    /** Progress of jobs, written by the leader. */
    static final String PROGRESS = "progress";

    /** Key of the leader row. */
    static final String LEADER_KEY = "leader/lease";

    private static final String CANCEL_SUFFIX = ".cancel";

    private Tables() {}

    static String jobKey(String id) {
        return INTAKE + "/" + id;
    }

    static String cancelKey(String id) {
        return INTAKE + "/" + id + CANCEL_SUFFIX;
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
