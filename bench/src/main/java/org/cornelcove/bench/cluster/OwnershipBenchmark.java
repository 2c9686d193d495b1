package org.cornelcove.bench.cluster;

import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.TargetView;

/**
 * Kills each entry of a cluster once, as a process, and measures from the kill to the first answered request at each of
 * the targets that it owned. Only requests that were sent after the kill count, so each went through another entry. An
 * entry that is the leading control host as well is among them: its targets wait for a new leader first.
 *
 * <p>Between kills the killed entry is started again and everything has to stand still: each target owned, and served,
 * under owners that did not change for a while.
 */
public final class OwnershipBenchmark implements Benchmark {
    private static final long WANTED_MS = 5_000;
    private static final int ENTRIES = 9;
    private static final int TARGETS = 45;
    private static final int CALLERS_EACH = 24;
    private static final long STILL_MS = 2_000;
    private static final long LOOK_MS = 200;

    @Override
    public String name() {
        return "ownership";
    }

    @Override
    public String target() {
        return "owner entry killed: each of its targets serves again within 5 s";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        Histogram waitsMs = new Histogram(3);
        Answers answers = new Answers(System.nanoTime());
        out.printf(
                "ownership: %d entries as processes, 3 of them control hosts, %d targets, %d callers an entry%n",
                ENTRIES, TARGETS, CALLERS_EACH);
        try (LocalCluster cluster = LocalCluster.start(ENTRIES, TARGETS);
                Callers callers = Callers.start(cluster.daemons(), CALLERS_EACH, answers)) {
            for (DaemonProcess victim : cluster.daemons()) {
                waitsMs.add(killOnce(cluster, victim, answers, out));
            }
        }
        boolean holds = waitsMs.getTotalCount() > 0 && waitsMs.getMaxValue() <= WANTED_MS;
        out.printf(
                "ownership: %d kills, %d targets served again: p50 %d ms, p90 %d ms, longest %d ms, wanted %d ms: %s%n",
                ENTRIES,
                waitsMs.getTotalCount(),
                waitsMs.getValueAtPercentile(50),
                waitsMs.getValueAtPercentile(90),
                waitsMs.getMaxValue(),
                WANTED_MS,
                holds ? "holds" : "falls short");
        return holds;
    }

    private static Histogram killOnce(LocalCluster cluster, DaemonProcess victim, Answers answers, PrintStream out)
            throws Exception {
        Set<TargetId> owned = awaitStill(cluster, victim, answers);
        boolean leads = cluster.awaitLeader() == victim;
        answers.watchSince(System.nanoTime());
        victim.kill();
        LocalCluster.await("answer of the targets of " + victim.entry(), () -> answers.haveAll(owned));
        Histogram waitsMs = new Histogram(3);
        owned.forEach(target -> waitsMs.recordValue(
                TimeUnit.NANOSECONDS.toMillis(answers.waitNs(target).getAsLong())));
        out.printf(
                "ownership: %s%s killed: %d targets served again within %d to %d ms%n",
                victim.entry(),
                leads ? ", the leader," : "",
                owned.size(),
                waitsMs.getMinValue(),
                waitsMs.getMaxValue());
        cluster.start(victim);
        cluster.awaitReady();
        return waitsMs;
    }

    /** Waits until owners stay, the entry among them, and every target is served; returns what the entry owns. */
    private static Set<TargetId> awaitStill(LocalCluster cluster, DaemonProcess entry, Answers answers)
            throws Exception {
        Still still = new Still(answers);
        LocalCluster.await("rest before " + entry.entry() + " is killed", () -> {
            Thread.sleep(LOOK_MS);
            return still.look(cluster) && still.owners.containsValue(entry.entry());
        });
        return still.owners.entrySet().stream()
                .filter(one -> one.getValue().equals(entry.entry()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** The owners seen last, and since when they have been the same. */
    private static final class Still {
        private final Answers answers;
        private Map<TargetId, EntryId> owners = Map.of();
        private long sinceNs = System.nanoTime();

        private Still(Answers answers) {
            this.answers = answers;
        }

        /** Tells whether all targets are owned by the same entries as for a while, and were all served in it. */
        private boolean look(LocalCluster cluster) throws InterruptedException {
            Optional<Map<TargetId, EntryId>> now = cluster.status().map(Still::owners);
            if (now.isEmpty() || now.get().size() < TARGETS || !now.get().equals(owners)) {
                owners = now.orElse(Map.of());
                sinceNs = System.nanoTime();
                answers.watchSince(sinceNs);
                return false;
            }
            boolean longEnough = System.nanoTime() - sinceNs >= TimeUnit.MILLISECONDS.toNanos(STILL_MS);
            return longEnough && answers.haveAll(owners.keySet());
        }

        private static Map<TargetId, EntryId> owners(ClusterStatus status) {
            Map<TargetId, EntryId> owners = new TreeMap<>();
            for (TargetView target : status.targets()) {
                target.owner().ifPresent(owner -> owners.put(target.name(), owner));
            }
            return owners;
        }
    }
}
