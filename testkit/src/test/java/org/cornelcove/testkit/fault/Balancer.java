package org.cornelcove.testkit.fault;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Tracks which entries accept requests by polling the readiness of each, as the load balancer of the platform does. */
final class Balancer {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long TIMEOUT_MS = 300;

    private final Supplier<List<String>> entries;
    private volatile List<String> ready = List.of();

    Balancer(Supplier<List<String>> entries, ScheduledExecutorService timer) {
        this.entries = entries;
        timer.scheduleWithFixedDelay(this::pollReadiness, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    List<String> ready() {
        return ready;
    }

    private void pollReadiness() {
        ready = entries.get().parallelStream()
                .filter(entry -> Http.send("GET", entry, "/-/ready", new byte[0], Map.of(), TIMEOUT_MS)
                        .isSuccess())
                .toList();
    }
}
