package org.pollensill.runtime.event;

import java.util.Objects;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures Logback programmatically from the boot file; no Logback configuration file is read. */
public final class LogSetup {

    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg %kvp%n";

    /** Capacity of the log queue, about one second of the output of a busy leader. */
    private static final int LOG_QUEUE_LINES = 2_048;

    private LogSetup() {}

    /**
     * Configures logging to standard error.
     *
     * @param format {@code json} or {@code text}
     * @param level the minimum level to log
     */
    public static void configure(String format, String level) {
        Objects.requireNonNull(format, "format is null");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder("text".equals(format) ? textEncoder(context) : jsonEncoder(context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level, Level.INFO));
        root.addAppender(appender);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    /**
     * Configures logging as JSON to standard output through a bounded queue. A full queue drops lines and never blocks
     * the caller.
     *
     * @param level the minimum level to log
     */
    public static void configureBounded(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        JsonEncoder encoder = jsonEncoder(context);
        encoder.setWithThreadName(false);
        encoder.setWithLoggerName(false);
        encoder.setWithThrowable(false);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(LOG_QUEUE_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(Objects.requireNonNull(level, "level is null"), Level.INFO));
        root.addAppender(queue);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    /**
     * Changes the minimum level to log.
     *
     * @param level the level
     */
    public static void setLevel(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level, Level.INFO));
    }

    /** Writes the queued lines and ends logging. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static JsonEncoder jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithArguments(false);
        encoder.setWithMDC(false);
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(TEXT_PATTERN);
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }
}
