package org.pollensill.standin;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events 5000 to 5999: the stand-in. */
enum StandinEvent implements Event {
    /** All ports are open. */
    STARTED(5000, Level.INFO, "stand-in started"),
    /** The process was asked to stop. */
    STOPPING(5001, Level.INFO, "stand-in is stopping"),
    /** A fault was switched on or off. */
    FAULT_SWITCHED(5010, Level.INFO, "fault switched");

    private final EventInfo info;

    StandinEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
