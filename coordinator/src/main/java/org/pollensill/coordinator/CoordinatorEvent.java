package org.pollensill.coordinator;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events of the coordinator, 7000 to 7999. */
public enum CoordinatorEvent implements Event {
    /** The operator's configuration has a new version. */
    CONFIGURATION_APPLIED(7001, Level.INFO, "configuration applied"),
    /** The operator's row cannot be read; the last version stays in force. */
    CONFIGURATION_UNREADABLE(7002, Level.WARN, "configuration unreadable"),
    /** The store does not answer this process any more. */
    STORE_UNAVAILABLE(7003, Level.WARN, "store lost"),
    /** The store answers again. */
    STORE_AVAILABLE(7004, Level.INFO, "store regained"),
    /** The store is called through a peer, because it turns this machine away or cannot be reached. */
    STORE_RELAYED(7005, Level.WARN, "store called through a peer"),
    /** The store is called directly again. */
    STORE_DIRECT(7006, Level.INFO, "store called directly"),
    /** This process took the leader lease. */
    LEASE_ACQUIRED(7010, Level.INFO, "leader lease taken"),
    /** This process tried to take the leader lease and lost. */
    CAMPAIGN_LOST(7011, Level.INFO, "campaign lost"),
    /** This process no longer leads. */
    LEASE_LOST(7012, Level.WARN, "leader lease lost"),
    /** This process gave up the leader lease. */
    LEASE_RELEASED(7013, Level.INFO, "leader lease released"),
    /** A commit took long or its answer was lost. */
    COMMIT_UNCERTAIN(7014, Level.WARN, "commit without answer"),
    /** The leader has loaded jobs and runners. */
    STATE_LOADED(7015, Level.INFO, "state loaded"),
    /** The leader follows another coordinator. */
    LEADER_OBSERVED(7016, Level.INFO, "leader seen"),
    /** A runner refused an order because of a higher fencing token. */
    ORDER_FENCED(7017, Level.WARN, "order fenced"),
    /** The process stood still and must confirm its lease again. */
    PROCESS_SUSPENDED(7018, Level.WARN, "process was suspended"),
    /** A stored row cannot be read and is left out. */
    ROW_UNREADABLE(7019, Level.WARN, "stored row unreadable"),
    /** The rows of a job that ended long ago could not be deleted. */
    EXPIRY_FAILED(7026, Level.WARN, "ended job not deleted"),
    /** What former leaders have learned cannot be read; the leader learns anew. */
    ESTIMATES_UNREADABLE(7027, Level.WARN, "learned estimates unreadable"),
    /** A job was accepted. */
    JOB_ACCEPTED(7020, Level.INFO, "job accepted"),
    /** A job was refused. */
    JOB_REFUSED(7021, Level.INFO, "job refused"),
    /** It is not known whether a job was stored. */
    JOB_UNCERTAIN(7022, Level.WARN, "job acceptance uncertain"),
    /** A job was cancelled by its client. */
    JOB_CANCELLED(7023, Level.INFO, "job cancelled"),
    /** A job has a new state. */
    JOB_STATUS(7024, Level.INFO, "job state"),
    /** A client's question for a job could not be answered. */
    JOB_QUERY_FAILED(7025, Level.WARN, "job query failed"),
    /** A task was placed on a runner. */
    TASK_PLACED(7030, Level.INFO, "task placed"),
    /** A runner confirmed a task. */
    TASK_STARTED(7031, Level.DEBUG, "task started"),
    /** A task has ended well. */
    TASK_DONE(7032, Level.INFO, "task done"),
    /** A run was lost or given up. */
    RUN_LOST(7033, Level.INFO, "run lost"),
    /** The advice service has answered for a step. */
    ADVICE_RECEIVED(7035, Level.INFO, "advice received"),
    /** A runner is set aside. */
    RUNNER_QUARANTINED(7034, Level.WARN, "runner set aside"),
    /** The settings were read again. */
    SETTINGS_RELOADED(7040, Level.INFO, "settings reloaded"),
    /** The settings cannot be read; the former ones stay in force. */
    SETTINGS_UNREADABLE(7041, Level.WARN, "settings unreadable"),
    /** An unexpected failure inside the process. */
    INTERNAL_FAILURE(7050, Level.ERROR, "internal failure");

    private final EventInfo info;

    CoordinatorEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
