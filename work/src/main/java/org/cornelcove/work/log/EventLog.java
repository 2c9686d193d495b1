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
 * Writes events as JSON, one object per line. Callers only enqueue a line in a bounded queue; a separate thread writes.
 * Lines beyond the queue or the rate limit are dropped, and their count is added to the next line that is accepted.
 * Blocking on the log instead would delay the callers of the process.
 */
public final class EventLog {
    /** Maximum number of queued lines: the burst of one pass over all workers of a large site. */
    private static final int MAX_QUEUED_LINES = 2000;
    /** Maximum number of lines per second; a line costs about 20 microseconds of a small host's core. */
    private static final long MAX_LINES_PER_S = 400;

    private static final JsonFactory JSON = new JsonFactory();
    private static final EventLog STANDARD = new EventLog(System.out);

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
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
     * Enqueues an event without blocking.
     *
     * @param name the name of the event
     * @param fields alternating keys and values; keys are strings
     */
    public static void event(String name, Object... fields) {
        STANDARD.enqueue(name, fields);
    }

    private void enqueue(String name, Object... fields) {
        Metrics.count("event." + name);
        if (!withinRate()) {
            dropped.incrementAndGet();
            return;
        }
        if (!queue.offer(line(name, fields))) {
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
            long droppedLines = dropped.getAndSet(0);
            if (droppedLines > 0) {
                json.writeNumberField("droppedBefore", droppedLines);
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
                out.println(queue.take());
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
