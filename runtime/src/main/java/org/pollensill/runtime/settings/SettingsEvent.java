package org.pollensill.runtime.settings;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events of settings replication and changes, 4000 to 4999. */
public enum SettingsEvent implements Event {
    /** The process has applied a later settings revision. */
    APPLIED(4001, Level.INFO, "settings revision applied"),
    /** The store does not answer; changes are refused and the process keeps its revision. */
    STORE_UNREACHABLE(4002, Level.WARN, "settings cannot be read from the store"),
    /** The store answers again. */
    STORE_REACHABLE_AGAIN(4003, Level.INFO, "settings can be read from the store again"),
    /** An operator's change was committed. */
    CHANGED(4004, Level.INFO, "settings change committed"),
    /** An operator's change was refused. */
    REFUSED(4005, Level.INFO, "settings change refused"),
    /** A snapshot of the settings tree was written to the object store. */
    SNAPSHOT_WRITTEN(4006, Level.INFO, "settings snapshot written"),
    /** The store or a peer sent settings that cannot be parsed; they are not applied. */
    UNREADABLE(4007, Level.ERROR, "settings update cannot be parsed"),
    /** The store has a lower revision than the process; the process keeps its own. */
    STORE_BEHIND(4008, Level.WARN, "store has an older settings revision"),
    /** A shift has begun or ended at the process's place. */
    SHIFT_CHANGED(4009, Level.INFO, "shift changed");

    private final EventInfo info;

    SettingsEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
