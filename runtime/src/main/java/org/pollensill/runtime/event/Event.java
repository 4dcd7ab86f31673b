package org.pollensill.runtime.event;

import org.slf4j.event.Level;

/** A numbered log event. Each module lists its events in an enum; docs/events.md lists all of them. */
public interface Event {

    /**
     * Returns the constant properties of the event.
     *
     * @return number, level and text
     */
    EventInfo info();

    /**
     * Returns the event's number, unique across all modules.
     *
     * @return the number, printed as PLN-number
     */
    default int number() {
        return info().number();
    }

    /**
     * Returns the event's level.
     *
     * @return the level
     */
    default Level level() {
        return info().level();
    }

    /**
     * Returns the event's text, identical for every occurrence.
     *
     * @return the text
     */
    default String text() {
        return info().text();
    }

    /**
     * Returns the event's code.
     *
     * @return the code, for example PLN-2104
     */
    default String code() {
        return "PLN-" + number();
    }
}
