package org.pollensill.runtime.burn;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events of service-level burn, 6000 to 6999. */
public enum BurnEvent implements Event {
    /** A kind of work consumes its error budget faster than the threshold of an alert. */
    ALERT_RAISED(6001, Level.WARN, "service-level burn alert raised"),
    /** The burn rate in the short window is below the threshold of the alert again. */
    ALERT_ENDED(6002, Level.INFO, "service-level burn alert ended"),
    /** The counters cannot be written; they remain in memory and the next write includes them. */
    WRITE_FAILED(6003, Level.WARN, "burn counters cannot be written"),
    /** Writes of the counters succeed again. */
    WRITE_RECOVERED(6004, Level.INFO, "burn counters are written again"),
    /** Counters of ended processes were moved to the archive of their zone. */
    FOLDED(6005, Level.INFO, "burn counters of ended processes folded");

    private final EventInfo info;

    BurnEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
