package org.cornelcove.testkit.fault;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Knows which entries take requests now, as the platform's balancer does: by asking each of them all the time. */
final class Balancer {
    private static final long EVERY_MS = 100;
    private static final long TIMEOUT_MS = 300;

    private final Supplier<List<String>> entries;
    private volatile List<String> ready = List.of();

    Balancer(Supplier<List<String>> entries, ScheduledExecutorService timer) {
        this.entries = entries;
        timer.scheduleWithFixedDelay(this::ask, 0, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    List<String> ready() {
        return ready;
    }

    private void ask() {
        ready = entries.get().parallelStream()
                .filter(entry -> Http.send("GET", entry, "/-/ready", new byte[0], Map.of(), TIMEOUT_MS)
                        .good())
                .toList();
    }
}
