package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The hosts of one availability zone in buckets by free CPU, one bucket per whole core; hosts with accelerators are
 * indexed separately. Moving a host between buckets and finding a host with enough free cores take constant time, so a
 * decision examines a few hosts instead of all.
 */
final class ZoneIndex {
    private static final int BUCKETS = 257;
    private static final long MILLICORES_PER_BUCKET = 1000;

    private final List<List<Host>> plain = emptyBuckets();
    private final List<List<Host>> accelerated = emptyBuckets();

    void add(Host host) {
        int bucket = bucketOf(host);
        List<Host> list = listsOf(host).get(bucket);
        host.moveTo(bucket, list.size());
        list.add(host);
    }

    void remove(Host host) {
        List<Host> list = listsOf(host).get(host.bucket());
        Host last = list.remove(list.size() - 1);
        if (last != host) {
            list.set(host.position(), last);
            last.moveTo(host.bucket(), host.position());
        }
    }

    /** Moves the host to the bucket of its current free CPU. */
    void update(Host host) {
        if (bucketOf(host) != host.bucket()) {
            remove(host);
            add(host);
        }
    }

    /** Collects hosts that pass the test, in search order, until {@code into} holds {@code limit} hosts. */
    void collect(Search search, Predicate<Host> test, List<Host> into, int limit) {
        List<List<Host>> lists = search.withAccelerators() ? accelerated : plain;
        int lowest = (int) Math.min(BUCKETS - 1, search.leastFreeMillicores() / MILLICORES_PER_BUCKET);
        for (int i = lowest; i < BUCKETS; i++) {
            List<Host> list = lists.get(search.emptiestFirst() ? BUCKETS - 1 - (i - lowest) : i);
            for (int j = 0; j < list.size() && into.size() < limit; j++) {
                Host host = list.get(j);
                if (test.test(host)) {
                    into.add(host);
                }
            }
        }
    }

    private List<List<Host>> listsOf(Host host) {
        return host.capacity().accelerators() > 0 ? accelerated : plain;
    }

    private static int bucketOf(Host host) {
        long cores = Math.max(0, host.free().cpuMillicores()) / MILLICORES_PER_BUCKET;
        return (int) Math.min(BUCKETS - 1, cores);
    }

    private static List<List<Host>> emptyBuckets() {
        List<List<Host>> lists = new ArrayList<>(BUCKETS);
        for (int i = 0; i < BUCKETS; i++) {
            lists.add(new ArrayList<>());
        }
        return lists;
    }

    /**
     * The hosts to examine, and their order.
     *
     * @param leastFreeMillicores the minimum free CPU, in millicores; rounded down to whole cores
     * @param withAccelerators whether to examine the hosts with accelerators instead of those without
     * @param emptiestFirst whether the hosts with the most free CPU come first
     */
    record Search(long leastFreeMillicores, boolean withAccelerators, boolean emptiestFirst) {}
}
