package org.cornelcove.work.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Forwards {@code java.util.logging} records to the {@link EventLog}. The JDK's console handler writes plain text
 * on the caller's thread, and blocks when the output is not read.
 */
public final class LoggerEvents extends Handler {
    /** Grizzly logs each start and stop of a listener, which the events of the processes already report. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private final SimpleFormatter formatter = new SimpleFormatter();

    private LoggerEvents() {}

    /** Replaces the handlers of the root logger. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LoggerEvents());
        GRIZZLY.setLevel(Level.WARNING);
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (isLoggable(logRecord)) {
            EventLog.event(
                    "logger",
                    "level",
                    logRecord.getLevel().getName(),
                    "logger",
                    logRecord.getLoggerName(),
                    "message",
                    formatter.formatMessage(logRecord),
                    "cause",
                    logRecord.getThrown() == null ? "" : logRecord.getThrown());
        }
    }

    @Override
    public void flush() {
        // The thread of the event log flushes.
    }

    @Override
    public void close() {
        // The event log stays open until the process ends.
    }
}
