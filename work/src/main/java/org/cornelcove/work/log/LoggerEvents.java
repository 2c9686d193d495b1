package org.cornelcove.work.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Takes what libraries and other modules write through their loggers into the {@link EventLog}. The platform's own
 * console handler writes plain text on the caller's thread, and waits when nobody reads.
 */
public final class LoggerEvents extends Handler {
    /** Grizzly tells each start and stop of a listener; the events of the processes name these already. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private final SimpleFormatter formatter = new SimpleFormatter();

    private LoggerEvents() {}

    /** Puts the event log in the place of the handlers that are there. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LoggerEvents());
        GRIZZLY.setLevel(Level.WARNING);
    }

    @Override
    public void publish(LogRecord written) {
        if (isLoggable(written)) {
            EventLog.event(
                    "logger",
                    "level",
                    written.getLevel().getName(),
                    "logger",
                    written.getLoggerName(),
                    "message",
                    formatter.formatMessage(written),
                    "cause",
                    written.getThrown() == null ? "" : written.getThrown());
        }
    }

    @Override
    public void flush() {
        // The event log's own thread writes.
    }

    @Override
    public void close() {
        // The event log lives as long as the process.
    }
}
