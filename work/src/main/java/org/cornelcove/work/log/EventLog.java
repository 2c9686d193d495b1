package org.cornelcove.work.log;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes one JSON object a line. Callers only put a line into a bounded queue; a thread of its own writes. A line that
 * finds the queue full, or that is over the rate, is counted and dropped, and the count is told with the next line that
 * passes; a process that waits for its log would be late for its callers.
 */
public final class EventLog {
    /** Lines waiting at most, a burst of one pass over all workers of a large site. */
    private static final int MAX_WAITING = 2000;
    /** Lines a second at most; a line costs about 20 microseconds of a small host's core. */
    private static final long MAX_LINES_PER_S = 400;

    private static final JsonFactory JSON = new JsonFactory();
    private static final EventLog STANDARD = new EventLog(System.out);

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private long secondStart;
    private long linesInSecond;

    private EventLog(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::write, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes an event with fields given as name, value, name, value.
     *
     * @param name the name
     * @param fields the fields
     */
    public static void event(String name, Object... fields) {
        STANDARD.put(name, fields);
    }

    private void put(String name, Object... fields) {
        Metrics.count("event." + name);
        if (!withinRate()) {
            dropped.incrementAndGet();
            return;
        }
        if (!waiting.offer(line(name, fields))) {
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean withinRate() {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != secondStart) {
            secondStart = second;
            linesInSecond = 0;
        }
        return linesInSecond++ < MAX_LINES_PER_S;
    }

    private String line(String name, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at", System.currentTimeMillis());
            json.writeStringField("event", name);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName((String) fields[i]);
                writeValue(json, fields[i + 1]);
            }
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                json.writeNumberField("droppedBefore", lost);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            json.writeNumber(((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else {
            json.writeString(String.valueOf(value));
        }
    }

    private void write() {
        try {
            while (true) {
                out.println(waiting.take());
                if (waiting.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
