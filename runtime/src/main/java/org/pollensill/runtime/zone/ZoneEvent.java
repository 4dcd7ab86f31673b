package org.pollensill.runtime.zone;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.pollensill.zone.Effect;
import org.slf4j.event.Level;

/** Events of membership and ownership, 2001 to 2099. */
enum ZoneEvent implements Event {
    /** This process has adopted a newer zone view. */
    VIEW_ADOPTED(2001, Level.INFO, "zone view adopted"),
    /** A process is confirmed to have ended. */
    MEMBER_GONE(2002, Level.WARN, "process is gone"),
    /** This process proposes a new zone view. */
    VIEW_PROPOSED(2003, Level.INFO, "zone view proposed"),
    /** The row of the zone view cannot be parsed. */
    VIEW_UNREADABLE(2004, Level.ERROR, "zone view is unreadable"),
    /** The outcome of a zone view commit is unknown; the row is read back. */
    COMMIT_UNKNOWN(2005, Level.WARN, "outcome of a zone view commit is unknown"),
    /** Another process committed a zone view first. */
    COMMIT_CONFLICT(2006, Level.INFO, "zone view commit conflicted with another"),
    /** An operator states that a host runs no process any more. */
    DECLARED_GONE(2007, Level.WARN, "host declared gone by an operator");

    private final EventInfo info;

    ZoneEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    static ZoneEvent of(Effect.Log log) {
        for (ZoneEvent event : values()) {
            if (event.number() == log.event()) {
                return event;
            }
        }
        throw new IllegalArgumentException("unknown zone event: " + log.event());
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
