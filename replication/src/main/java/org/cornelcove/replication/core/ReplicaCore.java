package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * One member's part in the protocol of the replicated log, as a step function.
 *
 * <p>The caller feeds it messages, ticks, requests and the completions of its disk and of its state machine, each with
 * the time of its own monotonic clock, and after any number of them asks by {@link #drain} what to do: what to send,
 * what to write, what to apply. The core holds no thread, no file and no clock, so a test can stop it between any two
 * steps.
 *
 * <p>The protocol is Raft with these additions.
 *
 * <ul>
 *   <li>Pre-vote: a member asks whether it could win before it raises its term, so a member that was cut off does not
 *       depose a leader on its return.
 *   <li>Check-quorum and stickiness: a leader that has not heard from its quorum for the longest election timeout steps
 *       down, and a member votes for nobody within the shortest election timeout after it heard from a leader or was
 *       started. Together they give the leader's lease for reads, see {@link Leadership}.
 *   <li>Parallel writes: a leader sends entries while its own disk still writes them, and counts itself only once they
 *       are durable. All that promises something waits for the writes before it, see {@link DiskQueue}.
 *   <li>One change of the membership at a time, with learners, see {@link Membership}.
 * </ul>
 *
 * <p>Invariants: a vote and a term are durable before anybody learns of them; an entry is applied only when it is
 * committed and durable here; entries at or before the commit index are never cut off.
 *
 * <p>Example: {@code core.tick(t); Ready todo = core.drain(t);} writes {@code todo.write()}, sends
 * {@code todo.messages()}, and after the fsync calls {@code core.written(t2, id)} and drains again.
 */
public final class ReplicaCore {
    /** What a member does at the moment. */
    public enum Role {
        /** Takes entries from a leader, or waits for one. */
        FOLLOWER,
        /** Asks whether it could win an election. */
        PRE_CANDIDATE,
        /** Asks for votes. */
        CANDIDATE,
        /** Takes commands. */
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
    /** The term in which this member votes for itself by the next write, 0 for none. */
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
        boolean alone = log.membership().votes(options.selfId())
                && log.membership().voters().size() == 1;
        this.election = new Election(this, alone, nowMs);
    }

    /**
     * Starts a member from what its data folder holds.
     *
     * @param options the settings
     * @param stored what the folder holds
     * @param initial the first members of a new group; empty for a member that joins an existing one
     * @param nowMs the time
     * @return the member, which follows nobody yet
     */
    public static ReplicaCore start(CoreOptions options, StoredState stored, Membership initial, long nowMs) {
        return start(options, ProtocolRules.INSTANCE, stored, initial, nowMs);
    }

    static ReplicaCore start(
            CoreOptions options, ProtocolRules rules, StoredState stored, Membership initial, long nowMs) {
        return new ReplicaCore(options, rules, stored, initial, nowMs);
    }

    // What the caller may see

    /**
     * Returns what this member does at the moment.
     *
     * @return what this member does at the moment
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the newest term seen.
     *
     * @return the newest term seen
     */
    public long term() {
        return term;
    }

    /**
     * Returns the leader's id, 0 when none is known.
     *
     * @return the leader's id, 0 when none is known
     */
    public long leaderId() {
        return leaderId;
    }

    /**
     * Returns the highest index known as committed.
     *
     * @return the highest index known as committed
     */
    public long commitIndex() {
        return log.commitIndex();
    }

    /**
     * Returns the highest index reported as applied.
     *
     * @return the highest index reported as applied
     */
    public long appliedIndex() {
        return log.appliedIndex();
    }

    /**
     * Returns what the newest durable snapshot covers.
     *
     * @return what the newest durable snapshot covers
     */
    public SnapshotMeta snapshot() {
        return log.snapshot();
    }

    /**
     * Returns the membership in force.
     *
     * @return the membership in force
     */
    public Membership membership() {
        return log.membership();
    }

    /**
     * Returns what a leader knows of the other members.
     *
     * @param nowMs the time
     * @return one view for each other member; empty on a member that does not lead
     */
    public List<FollowerView> followers(long nowMs) {
        return leadership == null ? List.of() : leadership.view(nowMs);
    }

    /**
     * Returns until when no other member can have been elected.
     *
     * @param nowMs the time
     * @return a time of the same clock, long past unless this member leads
     */
    public long leaseEndMs(long nowMs) {
        return leadership == null ? Leadership.NEVER_MS : leadership.leaseEndMs(nowMs);
    }

    // Inputs

    /**
     * Lets time pass.
     *
     * @param nowMs the time
     */
    public void tick(long nowMs) {
        if (retired) {
            return;
        }
        if (role == Role.LEADER) {
            leadership.tick(nowMs);
        } else if (election.due(nowMs)) {
            election.askForPreVotes(nowMs);
        }
    }

    /**
     * Takes a command; its token is answered by an apply or by a failure.
     *
     * @param token what the caller knows the request by
     * @param command the command
     */
    public void propose(long token, byte[] command) {
        leaderOr(token).ifPresent(l -> l.propose(token, command));
    }

    /**
     * Asks for the index up to which the state must be applied to hold all that was answered before.
     *
     * @param token what the caller knows the request by
     */
    public void readBarrier(long token) {
        leaderOr(token).ifPresent(l -> l.readBarrier(token));
    }

    /**
     * Adds a learner that is promoted once it has caught up.
     *
     * @param token what the caller knows the request by
     * @param id the member
     * @param address where its peers reach it
     */
    public void addMember(long token, long id, String address) {
        leaderOr(token).ifPresent(l -> l.addMember(token, id, address));
    }

    /**
     * Removes a member.
     *
     * @param token what the caller knows the request by
     * @param id the member
     */
    public void removeMember(long token, long id) {
        leaderOr(token).ifPresent(l -> l.removeMember(token, id));
    }

    /**
     * Hands leadership to another member.
     *
     * @param nowMs the time
     * @param token what the caller knows the request by
     */
    public void transferLeadership(long nowMs, long token) {
        leaderOr(token).ifPresent(l -> l.transfer(nowMs, token));
    }

    /**
     * Takes note that entries up to the index are applied.
     *
     * @param index the index
     */
    public void applied(long index) {
        log.applied(index);
        if (leadership != null) {
            leadership.applied();
        }
    }

    /**
     * Takes a snapshot of the state machine at an applied index.
     *
     * @param index the index
     * @param state the state
     */
    public void snapshotTaken(long index, byte[] state) {
        log.snapshotTaken(index, state);
    }

    /**
     * Takes note that all writes up to the id are durable.
     *
     * @param nowMs the time
     * @param id the member
     */
    public void written(long nowMs, long id) {
        for (DiskQueue.Pending write : log.disk.complete(id)) {
            outbox.release(write.held);
            write.snapshot.ifPresent(log::snapshotSaved);
            if (write.ownVoteTerm == term && role == Role.CANDIDATE) {
                election.count(nowMs, options.selfId(), incarnation);
            }
        }
    }

    /**
     * Takes note that a received snapshot is in place on disk, or was found damaged and thrown away.
     *
     * @param installed what is in place, empty when it was damaged
     */
    public void snapshotInstalled(Optional<SnapshotMeta> installed) {
        Optional<Message> answer = log.install(installed);
        Optional<MemberRecord> leader = log.membership().find(leaderId);
        if (answer.isPresent() && leader.isPresent()) {
            outbox.sendOnceDurable(leader.get(), term, answer.get());
        }
    }

    /**
     * Takes a message.
     *
     * @param nowMs the time
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
     * Tells what to do, and forgets it.
     *
     * @param nowMs the time
     * @return what the inputs since the last call ask for
     */
    public Ready drain(long nowMs) {
        if (role == Role.LEADER) {
            leadership.advance(nowMs);
        }
        if (!retired && log.committedMembership().retired().contains(options.selfId())) {
            retire(nowMs);
        }
        List<Ready.Apply> applies = log.takeApplies(index -> leadership == null ? 0 : leadership.takeToken(index));
        boolean takeSnapshot = log.wantsSnapshot(leadership != null && leadership.sendsSnapshot());
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
        boolean gone = committed.retired().contains(message.from())
                || committed
                        .find(message.from())
                        .filter(m -> !rules.admits(m, message.fromIncarnation()))
                        .isPresent();
        if (gone) {
            outbox.answer(message, term, new Message.MemberRetired());
            return false;
        }
        return log.membership()
                .find(message.from())
                .map(m -> rules.admits(m, message.fromIncarnation()))
                .orElse(true);
    }

    /** Moves to the message's term where that is due; false when the message must not be looked at further. */
    private boolean acceptsTerm(long nowMs, Envelope message) {
        Message body = message.body();
        if (body instanceof Message.PreVoteRequest) {
            return true;
        }
        if (body instanceof Message.PreVoteResponse answer && answer.granted()) {
            return role == Role.PRE_CANDIDATE && message.term() == term + 1;
        }
        if (body instanceof Message.VoteRequest request && !request.transfer() && election.leaderIsNear(nowMs)) {
            return false;
        }
        if (message.term() > term) {
            follow(nowMs, message.term(), 0);
        }
        if (message.term() < term) {
            answerOldTerm(message);
            return false;
        }
        return true;
    }

    /** Shows an old leader or candidate the newer term. */
    private void answerOldTerm(Envelope message) {
        if (message.body() instanceof Message.AppendRequest || message.body() instanceof Message.SnapshotChunk) {
            outbox.answerOnceDurable(message, term, new Message.AppendResponse(false, 0, 0, 0, Leadership.NEVER_MS));
        } else if (message.body() instanceof Message.VoteRequest) {
            outbox.answerOnceDurable(message, term, new Message.VoteResponse(false));
        }
    }

    private void dispatch(long nowMs, Envelope message) {
        Message body = message.body();
        if (body instanceof Message.AppendRequest request) {
            heardLeader(nowMs, message);
            if (!log.installing()) {
                outbox.answerOnceDurable(message, term, log.take(request));
            }
        } else if (body instanceof Message.SnapshotChunk chunk) {
            heardLeader(nowMs, message);
            if (!log.installing()) {
                log.take(chunk).ifPresent(answer -> outbox.answerOnceDurable(message, term, answer));
            }
        } else if (body instanceof Message.PreVoteRequest request) {
            election.answerPreVote(nowMs, message, request);
        } else if (body instanceof Message.VoteRequest request) {
            election.answerVote(nowMs, message, request);
        } else if (body instanceof Message.PreVoteResponse answer) {
            election.takePreVote(nowMs, message, answer);
        } else if (body instanceof Message.VoteResponse answer) {
            election.takeVote(nowMs, message, answer);
        } else if (body instanceof Message.TransferLeadership) {
            election.takeTransfer(nowMs, message);
        } else if (role == Role.LEADER) {
            leadership.receive(nowMs, message);
        }
    }

    private void heardLeader(long nowMs, Envelope message) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term);
        }
        follow(nowMs, message.term(), message.from());
        election.heard(nowMs);
    }

    /** Becomes a follower in the term, under the leader if one is known. */
    void follow(long nowMs, long newTerm, long newLeader) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
        }
        if (leadership != null) {
            Leadership lost = leadership;
            leadership = null;
            lost.abandon();
        }
        if (role != Role.FOLLOWER) {
            election.postpone(nowMs);
        }
        role = Role.FOLLOWER;
        leaderId = newLeader;
    }

    private void retire(long nowMs) {
        follow(nowMs, term, 0);
        retired = true;
        outbox.emit(new CoreEvent.Retired());
    }

    // Elections

    void standForPreVote() {
        role = Role.PRE_CANDIDATE;
        leaderId = 0;
    }

    void standForElection() {
        role = Role.CANDIDATE;
        term++;
        votedFor = options.selfId();
        ownVoteTerm = term;
        leaderId = 0;
    }

    /** Gives the vote of this term unless it was given to somebody else. */
    boolean giveVote(long to) {
        boolean free = role == Role.FOLLOWER && (votedFor == 0 || votedFor == to);
        if (free) {
            votedFor = to;
        }
        return free;
    }

    void lead(long nowMs) {
        role = Role.LEADER;
        leaderId = options.selfId();
        leadership = new Leadership(this, nowMs);
        Membership members = log.membership();
        if (members.formed()) {
            log.append(term, EntryKind.NOOP, new byte[0]);
        } else {
            Membership bound = members.bound(election.incarnations());
            log.append(term, EntryKind.MEMBERSHIP, MessageCodec.encodeMembership(bound));
        }
        leadership.begin(nowMs);
    }

    private Optional<Leadership> leaderOr(long token) {
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
