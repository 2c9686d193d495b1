package org.cornelcove.work.group;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.LeadershipListener;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaNode;
import org.cornelcove.replication.ReplicaSettings;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.replication.storage.DiskFolder;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.work.lead.WorkLeader;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.WorkState;

/**
 * A control host: its member of the replicated log, kept alive, and the leader's part while it leads.
 *
 * <p>Nobody lists the group. The first members are the seeds of a site that starts for the first time; whoever else
 * holds no membership asks the leader for one, under an id that was never used, until it has it. A member that stopped
 * because its disk failed is opened again on the same folder; one that was removed, or whose log is damaged, begins
 * again as a newcomer with an empty folder.
 */
public final class ControlNode implements AutoCloseable {
    private static final long KEEP_EVERY_MS = 200;
    private static final long CALL_TIMEOUT_MS = 800;
    /** Commands between two snapshots; with batches of a few tasks each, some seconds of a busy site. */
    private static final long SNAPSHOT_EVERY_ENTRIES = 4000;

    private static final Set<ErrorKind> FOLDER_LOST =
            Set.of(ErrorKind.MEMBER_RETIRED, ErrorKind.LOG_DAMAGED, ErrorKind.SNAPSHOT_DAMAGED);

    private final GroupSettings settings;
    private final CallClient client;
    private final WorkLeader leader;
    private final ControlPeers peers;
    private final ScheduledExecutorService keeper = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "member-keeper");
        thread.setDaemon(true);
        return thread;
    });
    private MemberIdentity identity;
    private volatile Optional<ReplicaNode> node = Optional.empty();
    private boolean askingToJoin;
    private volatile boolean closing;

    private ControlNode(GroupSettings settings, CallClient client, WorkLeader leader) {
        this.settings = settings;
        this.client = client;
        this.leader = leader;
        this.peers = ControlPeers.create(client, settings.address(), () -> settings.seeds());
    }

    /**
     * Opens the member and keeps it.
     *
     * @param settings its settings
     * @param client makes the calls
     * @param leader the leader
     * @return the running control host
     */
    public static ControlNode open(GroupSettings settings, CallClient client, WorkLeader leader) {
        ControlNode control = new ControlNode(settings, client, leader);
        control.keeper.scheduleWithFixedDelay(control::keep, 0, KEEP_EVERY_MS, TimeUnit.MILLISECONDS);
        return control;
    }

    /**
     * Adds the handlers of the calls between processes.
     *
     * @param handlers the handlers
     */
    public void handle(CallHandlers handlers) {
        handlers.take(GroupCalls.REPLICATE, message -> node.ifPresent(n -> n.receive(message)))
                .answer(GroupCalls.VIEW, question -> CompletableFuture.completedFuture(view()))
                .answer(GroupCalls.JOIN, this::join)
                .answer(GroupCalls.JOB, leader::call);
    }

    /**
     * Returns the group as this host knows it.
     *
     * @return the group as this host knows it
     */
    public GroupView view() {
        return node.map(n -> viewOf(n.status())).orElse(new GroupView("", List.of()));
    }

    /**
     * Tells whether this host leads.
     *
     * @return whether this host leads
     */
    public boolean leads() {
        return node.map(n -> n.status().leading()).orElse(false);
    }

    /**
     * Returns the leader's address as far as it is known here or was told by another control host.
     *
     * @return the leader's address as far as it is known here or was told by another control host
     */
    public Optional<String> leaderAddress() {
        String own = view().leader();
        return own.isEmpty() ? peers.leader() : Optional.of(own);
    }

    private static GroupView viewOf(ReplicaStatus status) {
        String leading = status.leader()
                .flatMap(id ->
                        status.members().stream().filter(m -> m.id() == id).findFirst())
                .map(Member::address)
                .orElse("");
        return new GroupView(
                leading, status.members().stream().map(Member::address).toList());
    }

    // The leader's side of joining

    private CompletableFuture<JoinReply> join(JoinRequest request) {
        ReplicaNode member = node.filter(n -> n.status().leading())
                .orElseThrow(() -> Failure.of(ErrorKind.NOT_LEADER, "the other control hosts")
                        .asException());
        MembershipPlan.Step step =
                MembershipPlan.decide(member.status(), settings.size(), request.id(), request.address());
        EventLog.event(
                "group.join",
                "member",
                request.id(),
                "address",
                request.address(),
                "step",
                step.kind(),
                "about",
                step.memberId());
        if (step.kind() == MembershipPlan.Kind.ADD) {
            member.addMember(request.id(), request.address()).whenComplete(ControlNode::logChange);
        } else if (step.kind() == MembershipPlan.Kind.REMOVE) {
            member.removeMember(step.memberId()).whenComplete(ControlNode::logChange);
        }
        return CompletableFuture.completedFuture(new JoinReply(step.kind()));
    }

    private static void logChange(Void done, Throwable thrown) {
        if (thrown != null) {
            EventLog.event(
                    "group.change", "failure", FailureException.causeOf(thrown).getMessage());
        }
    }

    // Keeping the member

    private void keep() {
        try {
            if (closing) {
                return;
            }
            if (node.isEmpty()) {
                openMember();
            } else if (node.get().stopped().isDone()) {
                reopen(node.get().stopped().join());
            } else {
                joinIfOutside();
            }
        } catch (IOException | RuntimeException e) {
            EventLog.event("member.fault", "cause", e);
        }
    }

    private void openMember() throws IOException {
        Files.createDirectories(settings.folder());
        if (identity == null) {
            identity = MemberIdentity.read(settings.folder()).orElse(null);
        }
        if (identity == null) {
            Optional<MemberIdentity> first =
                    settings.newGroup() ? MemberIdentity.first(settings.address(), settings.seeds()) : Optional.empty();
            become(first.orElseGet(MemberIdentity::joining));
        }
        WorkState state = new WorkState();
        LeaderSwitch leaderSwitch = new LeaderSwitch(state);
        try {
            ReplicaNode opened = ReplicaNode.open(
                    ReplicaSettings.of(identity.id(), settings.address(), identity.firstMembers())
                            .withSnapshotEveryEntries(SNAPSHOT_EVERY_ENTRIES),
                    DiskFolder.open(identity.logFolder(settings.folder())),
                    (to, message) -> client.send(to, GroupCalls.REPLICATE, message),
                    state,
                    leaderSwitch);
            leaderSwitch.member.complete(opened);
            node = Optional.of(opened);
            EventLog.event(
                    "member.open",
                    "member",
                    identity.id(),
                    "first",
                    !identity.firstMembers().isEmpty());
        } catch (FailureException e) {
            EventLog.event("member.closed", "member", identity.id(), "why", e.failure());
            if (FOLDER_LOST.contains(e.failure().kind())) {
                beginAnew();
            }
        }
    }

    /** Takes an identity once it is on the disk: a member that a restart doesn't know again is lost to its group. */
    private void become(MemberIdentity next) throws IOException {
        next.write(settings.folder());
        identity = next;
    }

    private void reopen(Optional<Failure> why) throws IOException {
        EventLog.event(
                "member.stopped",
                "member",
                identity.id(),
                "why",
                why.map(Failure::toString).orElse(""));
        node = Optional.empty();
        if (why.filter(f -> FOLDER_LOST.contains(f.kind())).isPresent()) {
            beginAnew();
        }
        openMember();
    }

    private void beginAnew() throws IOException {
        Path old = identity.logFolder(settings.folder());
        become(MemberIdentity.joining());
        try (Stream<Path> files = Files.walk(old)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    private void joinIfOutside() {
        ReplicaStatus status = node.get().status();
        boolean member = status.members().stream().anyMatch(m -> m.id() == identity.id());
        if (member || askingToJoin) {
            return;
        }
        askingToJoin = true;
        peers.refresh();
        Optional<String> leading = peers.leader();
        if (leading.isEmpty()) {
            askingToJoin = false;
            return;
        }
        client.call(leading.get(), GroupCalls.JOIN, new JoinRequest(identity.id(), settings.address()), CALL_TIMEOUT_MS)
                .whenComplete((reply, thrown) -> keeper.execute(() -> askingToJoin = false));
    }

    /** Hands leadership over where this host leads, and stops. */
    @Override
    public void close() {
        closing = true;
        keeper.shutdownNow();
        node.ifPresent(ReplicaNode::close);
    }

    /** Tells the leader's part when this host leads. */
    private final class LeaderSwitch implements LeadershipListener {
        private final WorkState state;
        private final CompletableFuture<ReplicaNode> member = new CompletableFuture<>();

        LeaderSwitch(WorkState state) {
            this.state = state;
        }

        @Override
        public void leadershipGained(long term) {
            member.thenAccept(n -> leader.gained(term, n, state, n::leaseEndMs));
        }

        @Override
        public void leadershipLost(long term) {
            leader.lost();
        }
    }
}
