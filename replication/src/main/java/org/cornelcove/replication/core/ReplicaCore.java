package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * One member's Raft as a step function without threads, files or clock: a test can stop it between any two steps.
 *
 * <p>The caller passes in messages, ticks, requests and the completions of its disk and its state machine, with the
 * time of its monotonic clock, and after any number of them calls {@link #drain} for what to send, write and apply.
 *
 * <p>The protocol is Raft with these additions.
 * <ul>
 *   <li>Pre-vote: a member asks whether it could win before it raises its term, so a member that was partitioned does
 *       not depose a leader when it reconnects.
 *   <li>Check quorum and leader stickiness: a leader without responses from its quorum for the maximum election timeout
 *       steps down, and a member grants no vote within the minimum election timeout after contact with a leader or its
 *       own start. The leader's read lease depends on both, see {@link Leadership}.
 *   <li>Parallel writes: a leader sends entries while its disk still writes them, and counts itself once they are
 *       durable. A message that promises durability waits for the earlier writes, see {@link DiskQueue}.
 *   <li>Single-server membership changes with learners, see {@link Membership}.
 * </ul>
 * <p>Invariants: a term and a vote are durable before any message reveals them; an entry is applied only when it is
 * committed and durable here; entries at or before the commit index are never truncated.
 *
 * <p>Example: {@code core.tick(t); Ready todo = core.drain(t);} writes {@code todo.write()}, sends
 * {@code todo.messages()}, calls {@code core.written(t2, id)} after the fsync, and drains again.
 */
public final class ReplicaCore {
    /** The Raft role of a member. */
    public enum Role {
        /** Accepts entries from a leader, or waits for one. */
        FOLLOWER,
        /** Runs a pre-vote: asks whether it could win an election, without raising its term. */
        PRE_CANDIDATE,
        /** Requests votes in its own term. */
        CANDIDATE,
        /** Accepts commands and replicates them. */
        LEADER
    }

    final CoreOptions options;
    final ProtocolRules rules;
    final MemberLog log;
    final Outbox outbox;
    final long incarnation;
    private final Election election;
    private Role role = Role.FOLLOWER;
    private long term;
    private long votedFor;
    /** The term of a vote for itself that the next write makes durable, 0 for none. */
    private long ownVoteTerm;

    private long leaderId;
    private Leadership leadership;
    private boolean retired;

    private ReplicaCore(CoreOptions options, ProtocolRules rules, StoredState stored, Membership initial, long nowMs) {
        this.options = options;
        this.rules = rules;
        this.incarnation = stored.incarnation();
        this.term = stored.vote().term();
        this.votedFor = stored.vote().votedFor();
        this.log = new MemberLog(options, stored, initial);
        this.outbox = new Outbox(options, incarnation);
        boolean soleVoter = log.membership().votes(options.selfId())
                && log.membership().voters().size() == 1;
        this.election = new Election(this, soleVoter, nowMs);
    }

    /**
     * Starts a member from the content of its data folder.
     *
     * @param options the settings
     * @param stored the content of the data folder
     * @param initial the first members of a new group; empty for a member that joins an existing one
     * @param nowMs the member's monotonic clock
     * @return the member, a follower that knows no leader yet
     */
    public static ReplicaCore start(CoreOptions options, StoredState stored, Membership initial, long nowMs) {
        return start(options, ProtocolRules.INSTANCE, stored, initial, nowMs);
    }

    static ReplicaCore start(
            CoreOptions options, ProtocolRules rules, StoredState stored, Membership initial, long nowMs) {
        return new ReplicaCore(options, rules, stored, initial, nowMs);
    }

    /**
     * Returns this member's role.
     *
     * @return the role in the current term
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the newest term seen.
     *
     * @return the term, which never decreases
     */
    public long term() {
        return term;
    }

    /**
     * Returns the leader of the current term.
     *
     * @return the leader's id, 0 when none is known
     */
    public long leaderId() {
        return leaderId;
    }

    /**
     * Returns the commit index.
     *
     * @return the highest index known to be committed
     */
    public long commitIndex() {
        return log.commitIndex();
    }

    /**
     * Returns the applied index.
     *
     * @return the highest index that the caller reported as applied
     */
    public long appliedIndex() {
        return log.appliedIndex();
    }

    /**
     * Returns what the newest durable snapshot covers.
     *
     * @return its last entry and membership, {@link SnapshotMeta#NONE} without a snapshot
     */
    public SnapshotMeta snapshot() {
        return log.snapshot();
    }

    /**
     * Returns the membership in force.
     *
     * @return the newest membership in the log, committed or not
     */
    public Membership membership() {
        return log.membership();
    }

    /**
     * Returns the leader's view of the other members.
     *
     * @param nowMs the member's monotonic clock
     * @return one view for each other member; empty unless this member is the leader
     */
    public List<FollowerView> followers(long nowMs) {
        return leadership == null ? List.of() : leadership.view(nowMs);
    }

    /**
     * Returns the end of the leader's lease, until which no other member can have been elected.
     *
     * @param nowMs the member's monotonic clock
     * @return a time on the same clock, far in the past unless this member is the leader
     */
    public long leaseEndMs(long nowMs) {
        return leadership == null ? Leadership.NEVER_MS : leadership.leaseEndMs(nowMs);
    }

    // Inputs

    /**
     * Handles timeouts: heartbeats and check quorum on a leader, the election timeout on other members.
     *
     * @param nowMs the member's monotonic clock
     */
    public void tick(long nowMs) {
        if (retired) {
            return;
        }
        if (role == Role.LEADER) {
            leadership.tick(nowMs);
        } else if (election.timedOut(nowMs)) {
            election.startPreVote(nowMs);
        }
    }

    /**
     * Proposes a command. Its token is completed by an apply or by a failure.
     *
     * @param token identifies the request to the caller
     * @param command the command
     */
    public void propose(long token, byte[] command) {
        leadershipOrFail(token).ifPresent(l -> l.propose(token, command));
    }

    /**
     * Requests a read index: once applied up to it, the state holds every command acknowledged before this call.
     *
     * @param token identifies the request to the caller
     */
    public void readBarrier(long token) {
        leadershipOrFail(token).ifPresent(l -> l.readBarrier(token));
    }

    /**
     * Adds a learner that is promoted once it has caught up.
     *
     * @param token identifies the request to the caller
     * @param id the new member's id
     * @param address its RPC address
     */
    public void addMember(long token, long id, String address) {
        leadershipOrFail(token).ifPresent(l -> l.addMember(token, id, address));
    }

    /**
     * Removes a member and retires its id.
     *
     * @param token identifies the request to the caller
     * @param id the member's id
     */
    public void removeMember(long token, long id) {
        leadershipOrFail(token).ifPresent(l -> l.removeMember(token, id));
    }

    /**
     * Transfers leadership to the most up-to-date active voter.
     *
     * @param nowMs the member's monotonic clock
     * @param token identifies the request to the caller
     */
    public void transferLeadership(long nowMs, long token) {
        leadershipOrFail(token).ifPresent(l -> l.transfer(nowMs, token));
    }

    /**
     * Reports that entries were applied.
     *
     * @param index the last applied index
     */
    public void applied(long index) {
        log.applied(index);
        if (leadership != null) {
            leadership.applied();
        }
    }

    /**
     * Reports a snapshot of the state machine.
     *
     * @param index the applied index at which it was taken
     * @param state the serialized state
     */
    public void snapshotTaken(long index, byte[] state) {
        log.snapshotTaken(index, state);
    }

    /**
     * Reports that all writes up to an id are durable.
     *
     * @param nowMs the member's monotonic clock
     * @param id the {@link DiskWrite#id} of the last durable write
     */
    public void written(long nowMs, long id) {
        for (DiskQueue.Pending write : log.disk.complete(id)) {
            outbox.release(write.heldMessages);
            write.snapshot.ifPresent(log::snapshotSaved);
            if (write.ownVoteTerm == term && role == Role.CANDIDATE) {
                election.countVote(nowMs, options.selfId(), incarnation);
            }
        }
    }

    /**
     * Reports that a received snapshot was installed on disk, or was discarded as damaged.
     *
     * @param installed what the installed snapshot covers, empty when it was damaged
     */
    public void snapshotInstalled(Optional<SnapshotMeta> installed) {
        Optional<Message> answer = log.install(installed);
        Optional<MemberRecord> leader = log.membership().find(leaderId);
        if (answer.isPresent() && leader.isPresent()) {
            outbox.sendOnceDurable(leader.get(), term, answer.get());
        }
    }

    /**
     * Handles a message from another member; ignores it if it is addressed to another id.
     *
     * @param nowMs the member's monotonic clock
     * @param message the message
     */
    public void receive(long nowMs, Envelope message) {
        if (retired || message.to() != options.selfId()) {
            return;
        }
        boolean forOther = message.toIncarnation() != MemberRecord.UNBOUND && message.toIncarnation() != incarnation;
        if (forOther || message.body() instanceof Message.MemberRetired) {
            retire(nowMs);
            return;
        }
        if (admits(message) && acceptsTerm(nowMs, message)) {
            dispatch(nowMs, message);
        }
    }

    /**
     * Returns the pending work and clears it.
     *
     * @param nowMs the member's monotonic clock
     * @return what to send, write and apply because of the inputs since the last call
     */
    public Ready drain(long nowMs) {
        if (role == Role.LEADER) {
            leadership.advance(nowMs);
        }
        if (!retired && log.committedMembership().retired().contains(options.selfId())) {
            retire(nowMs);
        }
        List<Ready.Apply> applies = log.takeApplies(index -> leadership == null ? 0 : leadership.takeToken(index));
        boolean takeSnapshot = log.shouldTakeSnapshot(leadership != null && leadership.isSendingSnapshot());
        Optional<DiskWrite> write = log.takeWrite(new Vote(term, votedFor), ownVoteTerm);
        if (write.isPresent()) {
            ownVoteTerm = 0;
        }
        return new Ready(
                outbox.takeMessages(log.disk),
                outbox.takeChunkReads(),
                write,
                log.takeRestore(),
                applies,
                takeSnapshot,
                outbox.takeEvents());
    }

    // Terms and admission

    private boolean admits(Envelope message) {
        Membership committed = log.committedMembership();
        boolean retiredSender = committed.retired().contains(message.from())
                || committed
                        .find(message.from())
                        .filter(m -> !rules.admits(m, message.fromIncarnation()))
                        .isPresent();
        if (retiredSender) {
            outbox.answer(message, term, new Message.MemberRetired());
            return false;
        }
        return log.membership()
                .find(message.from())
                .map(m -> rules.admits(m, message.fromIncarnation()))
                .orElse(true);
    }

    /** Adopts a newer term from the message. Returns false when the message must be ignored. */
    private boolean acceptsTerm(long nowMs, Envelope message) {
        Message body = message.body();
        if (body instanceof Message.PreVoteRequest) {
            return true;
        }
        if (body instanceof Message.PreVoteResponse answer && answer.granted()) {
            return role == Role.PRE_CANDIDATE && message.term() == term + 1;
        }
        if (body instanceof Message.VoteRequest request && !request.transfer() && election.hasRecentLeader(nowMs)) {
            return false;
        }
        if (message.term() > term) {
            becomeFollower(nowMs, message.term(), 0);
        }
        if (message.term() < term) {
            rejectStaleTerm(message);
            return false;
        }
        return true;
    }

    /** Rejects a message of a stale leader or candidate with the current term. */
    private void rejectStaleTerm(Envelope message) {
        if (message.body() instanceof Message.AppendRequest || message.body() instanceof Message.SnapshotChunk) {
            outbox.answerOnceDurable(message, term, new Message.AppendResponse(false, 0, 0, 0, Leadership.NEVER_MS));
        } else if (message.body() instanceof Message.VoteRequest) {
            outbox.answerOnceDurable(message, term, new Message.VoteResponse(false));
        }
    }

    private void dispatch(long nowMs, Envelope message) {
        Message body = message.body();
        if (body instanceof Message.AppendRequest request) {
            followLeader(nowMs, message);
            if (!log.installing()) {
                outbox.answerOnceDurable(message, term, log.handleAppend(request));
            }
        } else if (body instanceof Message.SnapshotChunk chunk) {
            followLeader(nowMs, message);
            if (!log.installing()) {
                log.handleChunk(chunk).ifPresent(answer -> outbox.answerOnceDurable(message, term, answer));
            }
        } else if (body instanceof Message.PreVoteRequest request) {
            election.handlePreVoteRequest(nowMs, message, request);
        } else if (body instanceof Message.VoteRequest request) {
            election.handleVoteRequest(nowMs, message, request);
        } else if (body instanceof Message.PreVoteResponse answer) {
            election.handlePreVoteResponse(nowMs, message, answer);
        } else if (body instanceof Message.VoteResponse answer) {
            election.handleVoteResponse(nowMs, message, answer);
        } else if (body instanceof Message.TransferLeadership) {
            election.handleTransferLeadership(nowMs, message);
        } else if (role == Role.LEADER) {
            leadership.receive(nowMs, message);
        }
    }

    private void followLeader(long nowMs, Envelope message) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term);
        }
        becomeFollower(nowMs, message.term(), message.from());
        election.leaderContacted(nowMs);
    }

    /** Becomes a follower in the term; {@code newLeader} is 0 when no leader is known. */
    void becomeFollower(long nowMs, long newTerm, long newLeader) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
        }
        if (leadership != null) {
            Leadership ended = leadership;
            leadership = null;
            ended.abandon();
        }
        if (role != Role.FOLLOWER) {
            election.resetTimeout(nowMs);
        }
        role = Role.FOLLOWER;
        leaderId = newLeader;
    }

    private void retire(long nowMs) {
        becomeFollower(nowMs, term, 0);
        retired = true;
        outbox.emit(new CoreEvent.Retired());
    }

    // Elections

    void becomePreCandidate() {
        role = Role.PRE_CANDIDATE;
        leaderId = 0;
    }

    void becomeCandidate() {
        role = Role.CANDIDATE;
        term++;
        votedFor = options.selfId();
        ownVoteTerm = term;
        leaderId = 0;
    }

    /** Grants the vote of this term unless it went to another member. */
    boolean grantVote(long to) {
        boolean grantable = role == Role.FOLLOWER && (votedFor == 0 || votedFor == to);
        if (grantable) {
            votedFor = to;
        }
        return grantable;
    }

    void becomeLeader(long nowMs) {
        role = Role.LEADER;
        leaderId = options.selfId();
        leadership = new Leadership(this, nowMs);
        Membership members = log.membership();
        if (members.allVotersBound()) {
            log.append(term, EntryKind.NOOP, new byte[0]);
        } else {
            Membership bound = members.bindIncarnations(election.voteIncarnations());
            log.append(term, EntryKind.MEMBERSHIP, MessageCodec.encodeMembership(bound));
        }
        leadership.start(nowMs);
    }

    private Optional<Leadership> leadershipOrFail(long token) {
        if (leadership == null) {
            String hint = log.membership()
                    .find(leaderId)
                    .map(m -> m.id() + " at " + m.address())
                    .orElse("the other control hosts");
            outbox.fail(token, Failure.of(ErrorKind.NOT_LEADER, hint));
        }
        return Optional.ofNullable(leadership);
    }
}
