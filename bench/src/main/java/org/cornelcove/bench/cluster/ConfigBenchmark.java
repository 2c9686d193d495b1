package org.cornelcove.bench.cluster;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.InForceView;

/**
 * A stream of numbered changes through the control group, each measured from the instant at which it was due until the
 * cluster tells that it is in force at every entry. About half way the leading control host, an entry itself, is killed;
 * it comes back only after its lease is over, so that changes have to wait for that lease.
 *
 * <p>Five things go on at once, all over the daemons' api listeners, another daemon with each request: the proposer sends
 * one change after the other; a second operator sends each accepted change again; one asks what is in force; two read
 * the newest configuration. What they saw is judged by {@link ChangeHistory}.
 */
public final class ConfigBenchmark implements Benchmark {
    private static final long WANTED_MS = 4_000;
    private static final int ENTRIES = 9;
    private static final int TARGETS = 45;
    private static final int CHANGES = 4_100;
    /** The cluster's first rules are change 1. */
    private static final long FIRST_CHANGE = 2;

    private static final long LAST_CHANGE = FIRST_CHANGE + CHANGES - 1;
    private static final long KILL_AT_CHANGE = FIRST_CHANGE + CHANGES / 2;
    private static final long PACE_MS = 27;
    private static final long DOWN_MS = 10_000;
    private static final long ACCEPT_LIMIT_MS = 30_000;
    private static final long RETRY_PAUSE_MS = 10;
    private static final long ASK_PAUSE_MS = 20;
    private static final int READERS = 2;
    private static final long READ_PAUSE_MS = 100;
    private static final int FAULTS_SHOWN = 10;

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String target() {
        return "4,100 changes, leader killed midway: in force within 4 s at p99, none lost, none reverted";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        ChangeHistory history = new ChangeHistory();
        out.printf(
                "config: %d entries as processes, 3 of them control hosts, %d targets announcing%n", ENTRIES, TARGETS);
        out.printf(
                "config: a change is due every %d ms, whatever became of the ones before; they are sent one at a time, in"
                        + " order, and their time counts from when they were due%n",
                PACE_MS);
        try (LocalCluster cluster = LocalCluster.start(ENTRIES, TARGETS)) {
            new Replay(cluster, history, out).run();
        }
        Histogram acceptanceMs = history.acceptanceMs();
        out.printf(
                "config: %d changes accepted: p50 %d ms, p99 %d ms, longest %d ms%n",
                acceptanceMs.getTotalCount(),
                acceptanceMs.getValueAtPercentile(50),
                acceptanceMs.getValueAtPercentile(99),
                acceptanceMs.getMaxValue());
        Histogram waitsMs = history.waitsMs();
        List<String> faults = history.faults();
        faults.stream().limit(FAULTS_SHOWN).forEach(fault -> out.println("config: " + fault));
        boolean holds =
                waitsMs.getTotalCount() == CHANGES && waitsMs.getValueAtPercentile(99) <= WANTED_MS && faults.isEmpty();
        out.printf(
                "config: %d changes in force: p50 %d ms, p90 %d ms, p99 %d ms, longest %d ms, wanted p99 %d ms;"
                        + " %d lost, reverted or told otherwise: %s%n",
                waitsMs.getTotalCount(),
                waitsMs.getValueAtPercentile(50),
                waitsMs.getValueAtPercentile(90),
                waitsMs.getValueAtPercentile(99),
                waitsMs.getMaxValue(),
                WANTED_MS,
                faults.size(),
                holds ? "holds" : "falls short");
        return holds;
    }

    /** One run of the stream. */
    private static final class Replay {
        private final LocalCluster cluster;
        private final ChangeHistory history;
        private final PrintStream out;
        private final LinkedBlockingQueue<ConfigurationProposal> accepted = new LinkedBlockingQueue<>();
        private final AtomicBoolean ended = new AtomicBoolean();

        private Replay(LocalCluster cluster, ChangeHistory history, PrintStream out) {
            this.cluster = cluster;
            this.history = history;
            this.out = out;
        }

        private void run() throws Exception {
            ExecutorService threads = Executors.newCachedThreadPool();
            try {
                List<Future<?>> others = new ArrayList<>();
                for (int i = 0; i < READERS; i++) {
                    others.add(threads.submit(untilEnded(this::read)));
                }
                others.add(threads.submit(untilEnded(this::askInForce)));
                Future<?> resends = threads.submit(this::resendAll);
                proposeAll(threads).get();
                resends.get();
                LocalCluster.await(
                        "changes in force", () -> history.outstanding().isEmpty());
                ended.set(true);
                for (Future<?> other : others) {
                    other.get();
                }
                readEverywhere();
            } finally {
                threads.shutdownNow();
            }
        }

        private Callable<Void> untilEnded(Step step) {
            return () -> {
                while (!ended.get()) {
                    step.run();
                }
                return null;
            };
        }

        /** Proposes all changes; returns the kill of the leader that was begun meanwhile. */
        private Future<?> proposeAll(ExecutorService threads) throws Exception {
            Future<?> kill = null;
            long startNs = System.nanoTime();
            for (long number = FIRST_CHANGE; number <= LAST_CHANGE; number++) {
                long dueNs = startNs + TimeUnit.MILLISECONDS.toNanos((number - FIRST_CHANGE) * PACE_MS);
                TimeUnit.NANOSECONDS.sleep(dueNs - System.nanoTime());
                if (number == KILL_AT_CHANGE) {
                    kill = threads.submit(this::killLeader);
                }
                history.due(number, dueNs);
                propose(number);
            }
            return kill;
        }

        private void propose(long number) throws Exception {
            ConfigurationProposal proposal = BookingRules.proposal(number);
            long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACCEPT_LIMIT_MS);
            while (System.nanoTime() - endNs < 0) {
                Optional<ConfigurationAccepted> answer = send(proposal);
                if (answer.isPresent()) {
                    history.accepted(number, answer.get().version(), System.nanoTime());
                    accepted.add(proposal);
                    return;
                }
                Thread.sleep(RETRY_PAUSE_MS);
            }
            throw new TimeoutException("change " + number + " not accepted within " + ACCEPT_LIMIT_MS + " ms");
        }

        private Optional<ConfigurationAccepted> send(ConfigurationProposal proposal) throws InterruptedException {
            return Api.post(cluster.nextApi(), "/v1/configuration", proposal, ConfigurationAccepted.class);
        }

        private Void killLeader() throws Exception {
            DaemonProcess leader = cluster.awaitLeader();
            leader.kill();
            out.printf(
                    "config: %s, the leader, killed at change %d and started again %d ms later%n",
                    leader.entry(), KILL_AT_CHANGE - FIRST_CHANGE + 1, DOWN_MS);
            Thread.sleep(DOWN_MS);
            cluster.start(leader);
            cluster.awaitReady();
            return null;
        }

        /** Sends each accepted change once more; an answer is looked for until there is one. */
        private Void resendAll() throws Exception {
            for (long number = FIRST_CHANGE; number <= LAST_CHANGE; number++) {
                ConfigurationProposal proposal = accepted.take();
                Optional<ConfigurationAccepted> answer = Optional.empty();
                long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACCEPT_LIMIT_MS);
                while (answer.isEmpty() && System.nanoTime() - endNs < 0) {
                    answer = send(proposal);
                }
                history.resent(
                        proposal.changeNumber(),
                        answer.map(one -> OptionalLong.of(one.version())).orElse(OptionalLong.empty()));
            }
            return null;
        }

        /** Finds the highest version in force by halving, since a version is in force when a later one is. */
        private void askInForce() throws InterruptedException {
            List<Long> versions = history.outstanding();
            int from = 0;
            int to = versions.size() - 1;
            while (from <= to) {
                int middle = (from + to) / 2;
                Optional<Boolean> inForce = isInForce(versions.get(middle));
                if (inForce.isEmpty()) {
                    break;
                }
                from = inForce.get() ? middle + 1 : from;
                to = inForce.get() ? to : middle - 1;
            }
            Thread.sleep(ASK_PAUSE_MS);
        }

        private Optional<Boolean> isInForce(long version) throws InterruptedException {
            Optional<InForceView> view =
                    Api.get(cluster.nextApi(), "/v1/configuration/" + version + "/in-force", InForceView.class);
            if (view.isPresent() && view.get().inForce()) {
                history.inForce(version, System.nanoTime());
            }
            return view.map(InForceView::inForce);
        }

        private void read() throws InterruptedException {
            readAt(cluster.nextApi());
            Thread.sleep(READ_PAUSE_MS);
        }

        private boolean readAt(String api) throws InterruptedException {
            long sentNs = System.nanoTime();
            Optional<ConfigurationView> view = Api.get(api, "/v1/configuration", ConfigurationView.class);
            view.ifPresent(one -> history.shown(
                    new ChangeHistory.Shown(one.version(), one.changeNumber(), sentNs, System.nanoTime())));
            return view.filter(one -> one.changeNumber() == LAST_CHANGE).isPresent();
        }

        private void readEverywhere() throws Exception {
            for (DaemonProcess daemon : cluster.daemons()) {
                LocalCluster.await("last change shown by " + daemon.entry(), () -> readAt(daemon.api));
            }
        }
    }

    /** What is done again and again. */
    @FunctionalInterface
    private interface Step {
        void run() throws InterruptedException;
    }
}
