package org.pollensill.runtime.event;

import java.util.Objects;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logger of numbered events with key-value pairs. */
public final class EventLog {

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the event log of a class.
     *
     * @param owner the class that logs the events
     * @return the log
     * @throws NullPointerException if {@code owner} is null
     */
    public static EventLog of(Class<?> owner) {
        return new EventLog(LoggerFactory.getLogger(Objects.requireNonNull(owner, "owner is null")));
    }

    /**
     * Logs an event.
     *
     * @param event the event
     * @param keyValues alternating keys and values
     */
    public void log(Event event, Object... keyValues) {
        log(event, null, keyValues);
    }

    /**
     * Logs an event with a cause.
     *
     * @param event the event
     * @param cause the exception, may be null
     * @param keyValues alternating keys and values
     */
    public void log(Event event, Throwable cause, Object[] keyValues) {
        Objects.requireNonNull(event, "event is null");
        if (!logger.isEnabledForLevel(event.level())) {
            return;
        }
        LoggingEventBuilder builder = logger.atLevel(event.level()).addKeyValue("event", event.code());
        for (int i = 0; i + 1 < keyValues.length; i += 2) {
            builder = builder.addKeyValue(String.valueOf(keyValues[i]), keyValues[i + 1]);
        }
        if (cause != null) {
            builder = builder.addKeyValue("cause", cause.toString());
        }
        builder.log(event.text());
    }
}
