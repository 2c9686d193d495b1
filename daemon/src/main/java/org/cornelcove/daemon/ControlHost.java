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

/** The control role of a daemon: a member of the group, the state that the log is applied to, and the leader's part. */
final class ControlHost implements AutoCloseable {
    private static final long TICK_MS = 50;

    private final ControlState state = ControlState.create();
    private final ControlLeader leader = ControlLeader.create(state, ControlHost::nowMs, this::propose, this::barrier);
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control-tick");
        thread.setDaemon(true);
        return thread;
    });
    /** Completed once the member is open; messages that arrive before are lost, as the protocol allows. */
    private final CompletableFuture<ReplicaNode> opened = new CompletableFuture<>();

    private final Settings settings;
    private final DaemonParts.FolderOpener folders;
    private final CallClient client;

    private ControlHost(Settings settings, DaemonParts.FolderOpener folders, CallClient client) {
        this.settings = settings;
        this.folders = folders;
        this.client = client;
    }

    /**
     * Prepares the control role; {@link #start()} opens the data folder.
     *
     * @param settings the daemon's settings
     * @param folders opens the data folder
     * @param client carries the group's messages
     * @return the role, not running yet
     */
    static ControlHost create(Settings settings, DaemonParts.FolderOpener folders, CallClient client) {
        return new ControlHost(settings, folders, client);
    }

    /** Opens the data folder and joins the group. */
    void start() {
        opened.complete(ReplicaNode.open(
                ReplicaSettings.of(settings.memberId(), Addresses.text(settings.rpcAddress()), initialMembers()),
                openFolder(),
                (to, message) -> client.send(to, Calls.REPLICATE, message),
                state,
                new LeaderSwitch()));
        ticker.scheduleWithFixedDelay(leader::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private DataFolder openFolder() {
        try {
            return folders.open(settings.dataFolder().orElseThrow());
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

    /** Adds the control role's handlers. */
    void handle(CallHandlers handlers) {
        handlers.take(Calls.REPLICATE, message -> opened.thenAccept(node -> node.receive(message)))
                .answer(Calls.EXECUTE, leader::execute)
                .answer(Calls.ENTRY_HEARTBEAT, leader::heartbeat)
                .answer(Calls.WORKER_HEARTBEAT, leader::workerHeartbeat)
                .answer(Calls.STATUS, any -> leader.status())
                .answer(Calls.CONFIGURATION, any -> leader.configuration())
                .answer(Calls.IN_FORCE, leader::inForce)
                .answer(Calls.JOB, id -> leader.job(id).thenApply(JobAnswer::new))
                .answer(Calls.JOBS, any -> leader.jobs().thenApply(JobList::new))
                .answer(Calls.EXPLAIN_JOB, leader::explainJob)
                .answer(Calls.GROUP, any -> opened.thenApply(ReplicaNode::status))
                .answer(Calls.LEADER_GROUP, any -> opened.thenApply(node -> leading(node.status())))
                .answer(Calls.ADD_MEMBER, member -> onNode(node -> node.addMember(member.id(), member.address())))
                .answer(Calls.REMOVE_MEMBER, id -> onNode(node -> node.removeMember(id)));
    }

    private static ReplicaStatus leading(ReplicaStatus group) {
        if (!group.leading()) {
            String hint = group.leader().map(id -> "member " + id).orElse("the other control hosts");
            throw Failure.of(ErrorKind.NOT_LEADER, hint).asException();
        }
        return group;
    }

    private CompletableFuture<Empty> onNode(Function<ReplicaNode, CompletableFuture<Void>> change) {
        return opened.thenCompose(change).thenApply(done -> Empty.INSTANCE);
    }

    /** Returns this host's view of the group. */
    Optional<ReplicaStatus> status() {
        return opened.isDone() ? Optional.of(opened.join().status()) : Optional.empty();
    }

    /** Completes when the member stopped by itself or was closed. */
    CompletableFuture<Optional<Failure>> stopped() {
        return opened.thenCompose(ReplicaNode::stopped);
    }

    private CompletableFuture<Outcome> propose(Command command) {
        return opened.thenCompose(node -> node.propose(Codec.encode(command)))
                .thenApply(bytes -> Codec.decode(bytes, Outcome.class));
    }

    private CompletableFuture<Long> barrier() {
        return opened.thenCompose(ReplicaNode::readBarrier);
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void close() {
        ticker.shutdownNow();
        if (opened.isDone() && !opened.isCompletedExceptionally()) {
            opened.join().close();
        }
    }

    /** Tells the leader's part when this host leads. */
    private final class LeaderSwitch implements LeadershipListener {
        @Override
        public void leadershipGained(long term) {
            leader.leadershipGained();
        }

        @Override
        public void leadershipLost(long term) {
            leader.leadershipLost();
        }
    }
}
