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
import org.cornelcove.wire.PeriodicTask;
import org.cornelcove.work.lead.WorkLeader;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.WorkState;

/**
 * A control host: maintains its member of the replicated log, and runs the {@link WorkLeader} while that member leads.
 *
 * <p>The group is not configured. When a site starts for the first time, the seeds are its members. Any other host
 * repeatedly asks the leader to be added, under an id that was never used, until it is a member. A member that stopped
 * because its disk failed is reopened on the same folder; one that was removed, or whose log is damaged, rejoins under
 * a new id with an empty folder.
 */
public final class ControlNode implements AutoCloseable {
    private static final long MAINTENANCE_INTERVAL_MS = 200;
    private static final long CALL_TIMEOUT_MS = 800;
    /** Log entries between two snapshots: with batches of a few tasks each, some seconds of a busy site. */
    private static final long SNAPSHOT_EVERY_ENTRIES = 4000;

    private static final Set<ErrorKind> UNUSABLE_FOLDER =
            Set.of(ErrorKind.MEMBER_RETIRED, ErrorKind.LOG_DAMAGED, ErrorKind.SNAPSHOT_DAMAGED);

    private final GroupSettings settings;
    private final CallClient client;
    private final WorkLeader leader;
    private final ControlPeers peers;
    private final ScheduledExecutorService maintenance = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "member-keeper");
        thread.setDaemon(true);
        return thread;
    });
    private MemberIdentity identity;
    private volatile Optional<ReplicaNode> node = Optional.empty();
    private boolean joinPending;
    private volatile boolean closing;

    private ControlNode(GroupSettings settings, CallClient client, WorkLeader leader) {
        this.settings = settings;
        this.client = client;
        this.leader = leader;
        this.peers = ControlPeers.create(client, settings.address(), () -> settings.seeds());
    }

    /**
     * Opens the member and starts its periodic maintenance.
     *
     * @param settings the settings of the control host
     * @param client makes the calls to other processes
     * @param leader runs while this host leads
     * @return the running control host
     */
    public static ControlNode open(GroupSettings settings, CallClient client, WorkLeader leader) {
        ControlNode control = new ControlNode(settings, client, leader);
        PeriodicTask.schedule(control.maintenance, "maintenance", control::maintain, 0, MAINTENANCE_INTERVAL_MS);
        return control;
    }

    /**
     * Registers the handlers of {@link GroupCalls}.
     *
     * @param handlers the registry to add to
     */
    public void handle(CallHandlers handlers) {
        handlers.take(GroupCalls.REPLICATE, message -> node.ifPresent(n -> n.receive(message)))
                .answer(GroupCalls.VIEW, query -> CompletableFuture.completedFuture(view()))
                .answer(GroupCalls.JOIN, this::join)
                .answer(GroupCalls.JOB, leader::call);
    }

    /**
     * Returns the group as known to this host.
     *
     * @return the group; without members while the member is not open
     */
    public GroupView view() {
        return node.map(n -> viewOf(n.status())).orElse(new GroupView("", List.of()));
    }

    /**
     * Returns whether this host leads.
     *
     * @return false also while the member is not open
     */
    public boolean leads() {
        return node.map(n -> n.status().leading()).orElse(false);
    }

    /**
     * Returns the address of the leader, as known to this member or last reported by another control host.
     *
     * @return {@code ip:port}, empty when unknown
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

    // Join requests, on the leader

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

    // Maintenance of the member

    private void maintain() {
        try {
            if (closing) {
                return;
            }
            if (node.isEmpty()) {
                openMember();
            } else if (node.get().stopped().isDone()) {
                reopen(node.get().stopped().join());
            } else {
                joinIfNotMember();
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
            adoptIdentity(first.orElseGet(MemberIdentity::joining));
        }
        WorkState state = new WorkState();
        LeadershipHandler leadershipHandler = new LeadershipHandler(state);
        try {
            ReplicaNode opened = ReplicaNode.open(
                    ReplicaSettings.of(identity.id(), settings.address(), identity.firstMembers())
                            .withSnapshotEveryEntries(SNAPSHOT_EVERY_ENTRIES),
                    DiskFolder.open(identity.logFolder(settings.folder())),
                    (to, message) -> client.send(to, GroupCalls.REPLICATE, message),
                    state,
                    leadershipHandler);
            leadershipHandler.member.complete(opened);
            node = Optional.of(opened);
            EventLog.event(
                    "member.open",
                    "member",
                    identity.id(),
                    "first",
                    !identity.firstMembers().isEmpty());
        } catch (FailureException e) {
            EventLog.event("member.closed", "member", identity.id(), "why", e.failure());
            if (UNUSABLE_FOLDER.contains(e.failure().kind())) {
                rejoinAsNewMember();
            }
        }
    }

    /** Adopts an identity after storing it: a member whose id is not on disk could not resume after a restart. */
    private void adoptIdentity(MemberIdentity next) throws IOException {
        next.write(settings.folder());
        identity = next;
    }

    private void reopen(Optional<Failure> reason) throws IOException {
        EventLog.event(
                "member.stopped",
                "member",
                identity.id(),
                "why",
                reason.map(Failure::toString).orElse(""));
        node = Optional.empty();
        if (reason.filter(f -> UNUSABLE_FOLDER.contains(f.kind())).isPresent()) {
            rejoinAsNewMember();
        }
        openMember();
    }

    private void rejoinAsNewMember() throws IOException {
        Path old = identity.logFolder(settings.folder());
        adoptIdentity(MemberIdentity.joining());
        try (Stream<Path> files = Files.walk(old)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    private void joinIfNotMember() {
        ReplicaStatus status = node.get().status();
        boolean member = status.members().stream().anyMatch(m -> m.id() == identity.id());
        if (member || joinPending) {
            return;
        }
        joinPending = true;
        peers.refresh();
        Optional<String> leading = peers.leader();
        if (leading.isEmpty()) {
            joinPending = false;
            return;
        }
        client.call(leading.get(), GroupCalls.JOIN, new JoinRequest(identity.id(), settings.address()), CALL_TIMEOUT_MS)
                .whenComplete((reply, thrown) -> maintenance.execute(() -> joinPending = false));
    }

    /** Transfers leadership if this host leads, and stops. */
    @Override
    public void close() {
        closing = true;
        maintenance.shutdownNow();
        node.ifPresent(ReplicaNode::close);
    }

    /** Starts and stops the {@link WorkLeader} with the leadership of the member. */
    private final class LeadershipHandler implements LeadershipListener {
        private final WorkState state;
        private final CompletableFuture<ReplicaNode> member = new CompletableFuture<>();

        LeadershipHandler(WorkState state) {
            this.state = state;
        }

        @Override
        public void leadershipGained(long term) {
            member.thenAccept(n -> leader.gained(term, n, state, () -> n.leaseEndMs(term)));
        }

        @Override
        public void leadershipLost(long term) {
            leader.lost();
        }
    }
}
