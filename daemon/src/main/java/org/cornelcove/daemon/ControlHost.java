package org.cornelcove.daemon;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.cornelcove.control.leader.ControlLeader;
import org.cornelcove.control.state.ControlState;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.daemon.call.JobAnswer;
import org.cornelcove.daemon.call.JobList;
import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.LeadershipListener;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaNode;
import org.cornelcove.replication.ReplicaSettings;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.wire.Addresses;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.Codec;
import org.cornelcove.wire.PeriodicTask;

/** The control role of a daemon: the group member, the state to which the log is applied, and the leader's services. */
final class ControlHost implements AutoCloseable {
    private static final long TICK_MS = 50;

    private final ControlState state = ControlState.create();
    private final ControlLeader leader = ControlLeader.create(state, ControlHost::nowMs, this::propose, this::barrier);
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control-tick");
        thread.setDaemon(true);
        return thread;
    });
    /** Completed by {@link #start()} once the member is open; calls that arrive earlier wait for it. */
    private final CompletableFuture<ReplicaNode> openedNode = new CompletableFuture<>();

    private final Settings settings;
    private final DaemonParts.FolderOpener folderOpener;
    private final CallClient client;

    private ControlHost(Settings settings, DaemonParts.FolderOpener folderOpener, CallClient client) {
        this.settings = settings;
        this.folderOpener = folderOpener;
        this.client = client;
    }

    /**
     * Creates the control role; {@link #start()} opens the data folder.
     *
     * @param settings the daemon's settings
     * @param folders opens the data folder
     * @param client sends the group's messages
     * @return the role, not yet started
     */
    static ControlHost create(Settings settings, DaemonParts.FolderOpener folderOpener, CallClient client) {
        return new ControlHost(settings, folderOpener, client);
    }

    /** Opens the data folder and joins the group. */
    void start() {
        openedNode.complete(ReplicaNode.open(
                ReplicaSettings.of(settings.memberId(), Addresses.text(settings.rpcAddress()), initialMembers()),
                openFolder(),
                (to, message) -> client.send(to, Calls.REPLICATE, message),
                state,
                new LeadershipForwarder()));
        PeriodicTask.schedule(ticker, "tick", leader::tick, TICK_MS, TICK_MS);
    }

    private DataFolder openFolder() {
        try {
            return folderOpener.open(settings.dataFolder().orElseThrow());
        } catch (IOException e) {
            throw Failure.of(ErrorKind.STORAGE_FAILED, e.getMessage()).asException();
        }
    }

    private List<Member> initialMembers() {
        if (!settings.controlMembers().containsKey(settings.memberId())) {
            return List.of();
        }
        return settings.controlMembers().entrySet().stream()
                .map(member -> new Member(member.getKey(), member.getValue(), true))
                .toList();
    }

    /** Registers the call handlers of the control role. */
    void registerHandlers(CallHandlers handlers) {
        handlers.take(Calls.REPLICATE, message -> openedNode.thenAccept(node -> node.receive(message)))
                .answer(Calls.EXECUTE, leader::execute)
                .answer(Calls.ENTRY_HEARTBEAT, leader::heartbeat)
                .answer(Calls.WORKER_HEARTBEAT, leader::workerHeartbeat)
                .answer(Calls.STATUS, any -> leader.status())
                .answer(Calls.CONFIGURATION, any -> leader.configuration())
                .answer(Calls.IN_FORCE, leader::inForce)
                .answer(Calls.JOB, id -> leader.job(id).thenApply(JobAnswer::new))
                .answer(Calls.JOBS, any -> leader.jobs().thenApply(JobList::new))
                .answer(Calls.EXPLAIN_JOB, leader::explainJob)
                .answer(Calls.GROUP, any -> openedNode.thenApply(ReplicaNode::status))
                .answer(Calls.LEADER_GROUP, any -> openedNode.thenApply(node -> requireLeader(node.status())))
                .answer(Calls.ADD_MEMBER, member -> applyToNode(node -> node.addMember(member.id(), member.address())))
                .answer(Calls.REMOVE_MEMBER, id -> applyToNode(node -> node.removeMember(id)));
    }

    private static ReplicaStatus requireLeader(ReplicaStatus group) {
        if (!group.leading()) {
            String hint = group.leader().map(id -> "member " + id).orElse("the other control hosts");
            throw Failure.of(ErrorKind.NOT_LEADER, hint).asException();
        }
        return group;
    }

    private CompletableFuture<Empty> applyToNode(Function<ReplicaNode, CompletableFuture<Void>> change) {
        return openedNode.thenCompose(change).thenApply(done -> Empty.INSTANCE);
    }

    /** Returns this host's view of the group. */
    Optional<ReplicaStatus> status() {
        return openedNode.isDone() ? Optional.of(openedNode.join().status()) : Optional.empty();
    }

    /** Completes when the member has stopped: with the failure that stopped it, or empty if it was closed. */
    CompletableFuture<Optional<Failure>> stopped() {
        return openedNode.thenCompose(ReplicaNode::stopped);
    }

    /**
     * Transfers leadership to another member, if this one leads, and goes on answering calls as a follower.
     *
     * @return completes once another member has been asked to lead; fails if none is up to date
     */
    CompletableFuture<Void> handOver() {
        return openedNode.thenCompose(
                node -> node.status().leading() && node.status().members().size() > 1
                        ? node.transferLeadership()
                        : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Outcome> propose(long term, Command command) {
        return openedNode
                .thenCompose(node -> node.propose(term, Codec.encode(command)))
                .thenApply(bytes -> Codec.decode(bytes, Outcome.class));
    }

    private CompletableFuture<Long> barrier() {
        return openedNode.thenCompose(ReplicaNode::readBarrier);
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void close() {
        ticker.shutdownNow();
        if (openedNode.isDone() && !openedNode.isCompletedExceptionally()) {
            openedNode.join().close();
        }
    }

    /** Notifies {@link ControlLeader} of gained and lost leadership. */
    private final class LeadershipForwarder implements LeadershipListener {
        @Override
        public void leadershipGained(long term) {
            leader.leadershipGained(term);
        }

        @Override
        public void leadershipLost(long term) {
            leader.leadershipLost();
        }
    }
}
