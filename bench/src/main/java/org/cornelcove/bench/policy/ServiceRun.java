package org.cornelcove.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;

/** Runs the same calls through the entries of a site, which each hold a part of the executors. */
final class ServiceRun {
    private static final int MAX_QUEUED = 2000;
    private static final int SHORT_SLOTS_PERCENT = 25;

    private final Site site;
    private final long shortRunMs;
    private final List<Call> calls;
    private final IntPredicate failing;

    ServiceRun(Site site, long shortRunMs, List<Call> calls, IntPredicate failing) {
        this.site = site;
        this.shortRunMs = shortRunMs;
        this.calls = calls;
        this.failing = failing;
    }

    Tally fifo(long fromUs, long toUs, long endUs) {
        return run(fromUs, toUs, endUs, false);
    }

    Tally policy(long fromUs, long toUs, long endUs) {
        return run(fromUs, toUs, endUs, true);
    }

    private Tally run(long fromUs, long toUs, long endUs, boolean policy) {
        EventLoop loop = new EventLoop();
        Tally tally = new Tally(fromUs, toUs);
        List<EntryStandIn> entries = new ArrayList<>();
        int offset = 0;
        for (int e = 0; e < site.entries(); e++) {
            int executors = site.executors() * (e + 1) / site.entries() - site.executors() * e / site.entries();
            int first = offset;
            IntPredicate fails = i -> failing.test(first + i);
            entries.add(
                    policy
                            ? new PolicyEntry(loop, tally, executors, fails, rule(), 17 + e)
                            : new FifoEntry(loop, tally, executors, fails, shortRunMs * 1000));
            offset += executors;
        }
        Random balancer = new Random(99);
        for (Call call : calls) {
            EntryStandIn entry = entries.get(balancer.nextInt(entries.size()));
            loop.at(call.atUs(), () -> entry.arrive(call));
        }
        loop.runUntil(endUs);
        return tally;
    }

    private ServiceRule rule() {
        return new ServiceRule(
                "s", "/", RequestClass.SAFE, 1000, 600_000, 1 << 20, MAX_QUEUED, shortRunMs, SHORT_SLOTS_PERCENT);
    }
}
