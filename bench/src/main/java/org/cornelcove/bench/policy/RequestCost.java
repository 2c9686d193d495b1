package org.cornelcove.bench.policy;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.learn.RunTimes;
import org.cornelcove.policy.queue.Arrival;
import org.cornelcove.policy.queue.QueuedRequest;
import org.cornelcove.policy.queue.RequestQueue;
import org.cornelcove.policy.route.SendOutcome;
import org.cornelcove.policy.route.TargetChooser;

/** The processor time of all decisions on one request, while a given number of others waits. */
final class RequestCost {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int TENANTS = 50;
    private static final int TARGETS = 7;
    private static final int WARM = 50_000;
    private static final int MEASURED = 50_000;
    private static final long HOUR_US = 3_600_000_000L;
    private static final long RUN_US = 100_000;

    private final RunTimes runTimes = RunTimes.create();
    private final RequestQueue<String> queue;
    private final TargetChooser chooser = TargetChooser.inZone("a");
    private long nowUs;

    private RequestCost(int waiting) {
        ServiceRule rule =
                new ServiceRule("s", "/", RequestClass.SAFE, 1000, 600_000, 1 << 20, 2 * waiting + 1, 400, 25);
        queue = RequestQueue.of(rule, t -> new TenantRule(t, 1, 2 * waiting + 1), runTimes, 3);
        for (int i = 0; i < TARGETS; i++) {
            chooser.put(TargetId.of("t" + i), "a", Site.SLOTS);
        }
        for (int i = 0; i < waiting; i++) {
            offer(i);
        }
    }

    /** Returns the microseconds for each request. */
    static double measureUs(int waiting) {
        RequestCost cost = new RequestCost(waiting);
        cost.serve(WARM);
        long fromNs = THREADS.getCurrentThreadCpuTime();
        cost.serve(MEASURED);
        return (THREADS.getCurrentThreadCpuTime() - fromNs) / 1000.0 / MEASURED;
    }

    private void serve(int requests) {
        for (int i = 0; i < requests; i++) {
            offer(i);
            Optional<TargetId> target = chooser.choose(Set.of(), nowUs / 1000);
            QueuedRequest<String> next =
                    queue.poll(chooser.usableSlots(nowUs / 1000), nowUs).orElseThrow();
            chooser.started(target.orElseThrow());
            nowUs += RUN_US;
            chooser.finished(target.get(), SendOutcome.ANSWERED, RUN_US, RUN_US, nowUs / 1000);
            queue.finished(next, nowUs);
            runTimes.record("s", next.kind(), RUN_US);
            queue.takeExpired(nowUs);
        }
    }

    private void offer(int i) {
        String tenant = "tenant" + i % TENANTS;
        queue.offer(new Arrival<>(tenant, "quote", nowUs + 10 * HOUR_US, RUN_US, "x"), TARGETS * Site.SLOTS, nowUs);
    }
}
