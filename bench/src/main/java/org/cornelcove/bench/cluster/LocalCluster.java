package org.cornelcove.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.testkit.History;
import org.cornelcove.testkit.LoopbackPorts;
import org.cornelcove.testkit.TargetOptions;
import org.cornelcove.testkit.TargetServer;

/**
 * Daemons as processes on loopback, spread over three availability zones, and targets in this process. Each daemon is an
 * entry; the first three are the control hosts as well, one in each zone. Whatever was started is ended when the cluster
 * is closed, and when this process ends before that.
 *
 * <p>Example: {@code LocalCluster.start(9, 45)} is three control hosts that are entries too, six more entries, and
 * fifteen targets in each zone.
 */
public final class LocalCluster implements AutoCloseable {
    private static final int CONTROL_HOSTS = 3;
    private static final int ZONES = 3;
    private static final int SLOTS = 8;
    private static final long LIMIT_MS = 60_000;
    private static final long LOOK_MS = 50;
    private static final long HANDOVER_MS = 5_000;
    /** Held here, since a logger that nobody holds forgets its level. */
    private static final Logger SERVER_LOG = Logger.getLogger("org.glassfish.grizzly");

    private final Path folder;
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final List<TargetServer> targets = new ArrayList<>();
    private final AtomicInteger turn = new AtomicInteger();
    private final Thread killer = new Thread(this::killAll, "cluster-killer");

    private LocalCluster(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts a cluster, and returns once every daemon is ready and rules for a booking service are in force.
     *
     * @param daemons how many daemons, three or more
     * @param targets how many targets of the booking service
     * @return the cluster
     * @throws Exception when it doesn't come up
     */
    public static LocalCluster start(int daemons, int targets) throws Exception {
        SERVER_LOG.setLevel(Level.WARNING);
        LocalCluster cluster = new LocalCluster(Files.createTempDirectory("cornelcove-bench"));
        Runtime.getRuntime().addShutdownHook(cluster.killer);
        try {
            cluster.open(daemons, targets);
            return cluster;
        } catch (Exception e) {
            cluster.close();
            throw e;
        }
    }

    private void open(int daemonCount, int targetCount) throws Exception {
        LoopbackPorts ports = new LoopbackPorts();
        for (int number = 1; number <= daemonCount; number++) {
            daemons.add(new DaemonProcess(number, zone(number), ports, folder));
        }
        for (DaemonProcess daemon : daemons) {
            start(daemon);
        }
        awaitReady();
        for (int number = 1; number <= targetCount; number++) {
            targets.add(TargetServer.start(
                    new TargetOptions("target-" + number, BookingRules.SERVICE, zone(number), SLOTS, apis()),
                    History.open(Optional.empty())));
        }
        await("the first rules", () -> Api.post(
                        nextApi(), "/v1/configuration", BookingRules.proposal(1), ConfigurationAccepted.class)
                .isPresent());
        await("an owner for every target", this::everyTargetOwned);
    }

    private static String zone(int number) {
        return "zone-" + (1 + number % ZONES);
    }

    /** Starts a daemon, for the first time or again. */
    void start(DaemonProcess daemon) throws IOException {
        String members = daemons.stream()
                .limit(CONTROL_HOSTS)
                .map(host -> host.number + "=" + host.rpc)
                .collect(Collectors.joining(","));
        daemon.start(daemon.number <= CONTROL_HOSTS, members);
    }

    private boolean everyTargetOwned() throws InterruptedException {
        return status().map(ClusterStatus::targets)
                .filter(known -> known.size() == targets.size())
                .filter(known ->
                        known.stream().allMatch(target -> target.owner().isPresent()))
                .isPresent();
    }

    /**
     * Returns the daemons.
     *
     * @return the daemons, running or not, the control hosts first
     */
    public List<DaemonProcess> daemons() {
        return List.copyOf(daemons);
    }

    private boolean isBalanced() throws InterruptedException {
        Optional<ClusterStatus> now = status();
        if (now.isEmpty()) {
            return false;
        }
        long[] owned = daemons.stream()
                .mapToLong(daemon -> now.get().targets().stream()
                        .filter(target -> target.owner().equals(Optional.of(daemon.entry())))
                        .count())
                .toArray();
        return LongStream.of(owned).max().orElse(0) - LongStream.of(owned).min().orElse(0) <= 1;
    }

    private List<String> apis() {
        return daemons.stream().map(daemon -> daemon.api).toList();
    }

    /** Returns the api listener of a running daemon; another with each call. */
    String nextApi() {
        List<DaemonProcess> running =
                daemons.stream().filter(DaemonProcess::running).toList();
        return running.get(Math.floorMod(turn.getAndIncrement(), running.size())).api;
    }

    Optional<ClusterStatus> status() throws InterruptedException {
        return Api.get(nextApi(), "/v1/status", ClusterStatus.class);
    }

    /** Waits until a control host leads. */
    DaemonProcess awaitLeader() throws Exception {
        long[] found = new long[1];
        await("a leader", () -> {
            found[0] = status().flatMap(ClusterStatus::leader).orElse(0L);
            return found[0] > 0;
        });
        return daemons.get((int) found[0] - 1);
    }

    /**
     * Waits until the daemons own equally many targets, give or take one, and each of these serves.
     *
     * @throws Exception when that takes too long
     */
    public void awaitBalanced() throws Exception {
        await("balance", this::isBalanced);
        Thread.sleep(HANDOVER_MS);
    }

    /** Waits until every daemon is ready. */
    void awaitReady() throws Exception {
        for (DaemonProcess daemon : daemons) {
            await(daemon.entry() + " ready", () -> Api.isGood(daemon.api, "/-/ready"));
        }
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
        while (!condition.call()) {
            if (System.nanoTime() - endNs > 0) {
                throw new TimeoutException("no " + what + " within " + LIMIT_MS + " ms");
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private void killAll() {
        daemons.forEach(DaemonProcess::kill);
    }

    @Override
    public void close() throws IOException {
        targets.forEach(TargetServer::close);
        killAll();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
