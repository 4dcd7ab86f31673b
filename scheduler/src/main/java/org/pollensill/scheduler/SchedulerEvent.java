package org.pollensill.scheduler;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events of the batch scheduler, 3000 to 3999. */
public enum SchedulerEvent implements Event {
    /** An event without an entry of its own. */
    OTHER(3000, Level.INFO, "batch event"),
    /** A shard is taken over. */
    SHARD_TAKEN(3001, Level.INFO, "shard taken over"),
    /** A shard is dropped. */
    SHARD_DROPPED(3002, Level.WARN, "shard dropped"),
    /** The ownership of a shard changed. */
    OWNERSHIP_CHANGED(3003, Level.INFO, "ownership of a shard changed"),
    /** A shard could not be read. */
    SHARD_READ_FAILED(3004, Level.WARN, "shard could not be read"),
    /** The host list could not be read. */
    HOSTS_FAILED(3005, Level.WARN, "host list could not be read"),
    /** A task is evicted. */
    TASK_EVICTED(3101, Level.INFO, "task is evicted"),
    /** A task stopped at its checkpoint. */
    TASK_CHECKPOINTED(3102, Level.INFO, "task stopped at a checkpoint"),
    /** The lease of a task lapsed. */
    LEASE_LAPSED(3104, Level.WARN, "worker lease lapsed"),
    /** A worker restarted. */
    WORKER_RESTARTED(3105, Level.WARN, "worker restarted"),
    /** A worker is quarantined. */
    WORKER_QUARANTINED(3201, Level.WARN, "worker quarantined"),
    /** A job failed on several sound workers. */
    JOB_FAILED(3202, Level.WARN, "job stopped after failures"),
    /** A job fits no host. */
    JOB_NEVER_FITS(3203, Level.WARN, "job stopped since it fits no host");

    private final EventInfo info;

    SchedulerEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    /**
     * Returns the event with a number.
     *
     * @param number the number
     * @return the event, {@link #OTHER} for an unknown number
     */
    static SchedulerEvent of(int number) {
        for (SchedulerEvent event : values()) {
            if (event.number() == number) {
                return event;
            }
        }
        return OTHER;
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
