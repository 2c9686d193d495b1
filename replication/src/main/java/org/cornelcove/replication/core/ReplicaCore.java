package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

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
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    final CoreOptions options;
    final LogTail log;
    final MembershipHistory history;
    final DiskQueue disk;
    long commitIndex;
    long appliedIndex;
    SnapshotMeta snapshot;
    private final long incarnation;
    private final SplittableRandom random;
    private final SnapshotReceiver receiver = new SnapshotReceiver();
    private final Map<Long, Long> votes = new HashMap<>();
    private Role role = Role.FOLLOWER;
    private long term;
    private long votedFor;
    private Vote writtenVote;
    private long leaderId;
    private Leadership leadership;
    private long lastHeardMs;
    private long electionDueMs;
    private boolean retired;

    private long writtenIndex;
    private long truncateFrom;
    private long ownVoteTerm;
    private long issuedApplyIndex;
    private long bytesSinceSnapshot;
    private boolean snapshotWanted;
    private Optional<DiskWrite.TakenSnapshot> takenSnapshot = Optional.empty();
    private long compactThrough;
    private Optional<SnapshotMeta> restore = Optional.empty();
    private List<Outgoing> sendNow = new ArrayList<>();
    private List<Outgoing> sendDurable = new ArrayList<>();
    private List<ChunkRead> chunkReads = new ArrayList<>();
    private List<CoreEvent> events = new ArrayList<>();

    private ReplicaCore(CoreOptions options, StoredState stored, Membership initial, long nowMs) {
        this.options = options;
        this.incarnation = stored.incarnation();
        this.random = new SplittableRandom(options.seed());
        this.term = stored.vote().term();
        this.votedFor = stored.vote().votedFor();
        this.writtenVote = stored.vote();
        this.snapshot = stored.snapshot();
        long base = snapshot.index();
        this.log = new LogTail(base, snapshot.term());
        this.history = new MembershipHistory(base, base == 0 ? initial : snapshot.membership());
        stored.entries().stream().filter(e -> e.index() > base).forEach(this::addEntry);
        this.disk = new DiskQueue(log.lastIndex());
        this.writtenIndex = log.lastIndex();
        this.commitIndex = base;
        this.appliedIndex = base;
        this.issuedApplyIndex = base;
        this.restore = base == 0 ? Optional.empty() : Optional.of(snapshot);
        this.lastHeardMs = nowMs;
        this.electionDueMs = alone() ? nowMs : nextElectionMs(nowMs);
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
        return new ReplicaCore(options, stored, initial, nowMs);
    }

    // What the caller may see

    public Role role() {
        return role;
    }

    public long term() {
        return term;
    }

    public long leaderId() {
        return leaderId;
    }

    public long commitIndex() {
        return commitIndex;
    }

    public long appliedIndex() {
        return appliedIndex;
    }

    public SnapshotMeta snapshot() {
        return snapshot;
    }

    public Membership membership() {
        return history.current();
    }

    public boolean retired() {
        return retired;
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
        } else if (nowMs >= electionDueMs) {
            startPreVote(nowMs);
        }
    }

    /**
     * Takes a command; its token is answered by an apply or by a failure.
     *
     * @param nowMs the time
     * @param token what the caller knows the request by
     * @param command the command
     */
    public void propose(long nowMs, long token, byte[] command) {
        leaderOr(token).ifPresent(l -> l.propose(token, command));
    }

    /**
     * Asks for the index up to which the state must be applied to hold all that was answered before.
     *
     * @param nowMs the time
     * @param token what the caller knows the request by
     */
    public void readBarrier(long nowMs, long token) {
        leaderOr(token).ifPresent(l -> l.readBarrier(token));
    }

    /**
     * Adds a learner that is promoted once it has caught up.
     *
     * @param nowMs the time
     * @param token what the caller knows the request by
     * @param id the member
     * @param address where its peers reach it
     */
    public void addMember(long nowMs, long token, long id, String address) {
        leaderOr(token).ifPresent(l -> l.addMember(nowMs, token, id, address));
    }

    /**
     * Removes a member.
     *
     * @param nowMs the time
     * @param token what the caller knows the request by
     * @param id the member
     */
    public void removeMember(long nowMs, long token, long id) {
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
     * @param nowMs the time
     * @param index the index
     */
    public void applied(long nowMs, long index) {
        appliedIndex = Math.max(appliedIndex, index);
        if (leadership != null) {
            leadership.applied();
        }
    }

    /**
     * Takes a snapshot of the state machine at an applied index.
     *
     * @param nowMs the time
     * @param index the index
     * @param state the state
     */
    public void snapshotTaken(long nowMs, long index, byte[] state) {
        if (index <= snapshot.index() || index < log.baseIndex()) {
            snapshotWanted = false;
            return;
        }
        SnapshotMeta meta = new SnapshotMeta(index, log.term(index), history.at(index));
        takenSnapshot = Optional.of(new DiskWrite.TakenSnapshot(meta, state));
    }

    /**
     * Takes note that all writes up to the id are durable.
     *
     * @param nowMs the time
     * @param id the member
     */
    public void written(long nowMs, long id) {
        for (DiskQueue.Pending write : disk.complete(id)) {
            sendNow.addAll(write.held);
            write.snapshot.ifPresent(this::snapshotSaved);
            if (write.ownVoteTerm == term && role == Role.CANDIDATE) {
                countVote(nowMs, options.selfId(), incarnation);
            }
        }
    }

    /**
     * Takes note that a received snapshot is in place on disk, or was found damaged and thrown away.
     *
     * @param nowMs the time
     * @param installed what is in place, empty when it was damaged
     */
    public void snapshotInstalled(long nowMs, Optional<SnapshotMeta> installed) {
        Optional<Message.SnapshotChunk> last = receiver.finish();
        installed.ifPresent(this::adoptSnapshot);
        last.ifPresent(chunk -> {
            long index = installed.isPresent() ? installed.get().index() : 0;
            Message answer = installed.isPresent()
                    ? new Message.AppendResponse(true, index, index, chunk.round(), chunk.sentMs())
                    : new Message.SnapshotResponse(chunk.snapshotIndex(), 0, chunk.round(), chunk.sentMs());
            history.current().find(leaderId).ifPresent(m -> sendDurable(m.id(), m.address(), answer));
        });
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
        if (message.toIncarnation() != MemberRecord.UNBOUND && message.toIncarnation() != incarnation
                || message.body() instanceof Message.MemberRetired) {
            retire();
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
        noticeRemoval();
        List<Ready.Apply> applies = takeApplies();
        boolean takeSnapshot = wantsSnapshot();
        Optional<DiskWrite> write = takeWrite();
        disk.holdOrSend(sendDurable, sendNow);
        Ready ready = new Ready(sendNow, chunkReads, write, restore, applies, takeSnapshot, events);
        sendDurable = new ArrayList<>();
        sendNow = new ArrayList<>();
        chunkReads = new ArrayList<>();
        events = new ArrayList<>();
        restore = Optional.empty();
        return ready;
    }

    // Terms and admission

    private boolean admits(Envelope message) {
        Membership committed = history.at(commitIndex);
        Optional<MemberRecord> known = committed.find(message.from());
        boolean gone = committed.retired().contains(message.from())
                || known.isPresent() && !known.get().admits(message.fromIncarnation());
        if (gone) {
            refuseRetired(message);
            return false;
        }
        return history.current()
                .find(message.from())
                .map(m -> m.admits(message.fromIncarnation()))
                .orElse(true);
    }

    void refuseRetired(Envelope message) {
        sendNow.add(new Outgoing(
                message.fromAddress(),
                new Envelope(
                        options.selfId(),
                        incarnation,
                        options.selfAddress(),
                        message.from(),
                        message.fromIncarnation(),
                        term,
                        new Message.MemberRetired())));
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
        if (body instanceof Message.VoteRequest request && !request.transfer() && leaderIsNear(nowMs)) {
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
            reply(message, new Message.AppendResponse(false, 0, 0, 0, Long.MIN_VALUE / 2));
        } else if (message.body() instanceof Message.VoteRequest) {
            reply(message, new Message.VoteResponse(false));
        }
    }

    private boolean leaderIsNear(long nowMs) {
        return role == Role.LEADER || nowMs - lastHeardMs < options.electionMinMs();
    }

    private void dispatch(long nowMs, Envelope message) {
        Message body = message.body();
        if (body instanceof Message.AppendRequest request) {
            heard(nowMs, message);
            append(message, request);
        } else if (body instanceof Message.SnapshotChunk chunk) {
            heard(nowMs, message);
            receiveChunk(message, chunk);
        } else if (body instanceof Message.PreVoteRequest request) {
            answerPreVote(nowMs, message, request);
        } else if (body instanceof Message.VoteRequest request) {
            answerVote(nowMs, message, request);
        } else if (body instanceof Message.PreVoteResponse answer) {
            takePreVote(nowMs, message, answer);
        } else if (body instanceof Message.VoteResponse answer) {
            takeVote(nowMs, message, answer);
        } else if (body instanceof Message.TransferLeadership) {
            takeTransfer(nowMs, message);
        } else if (role == Role.LEADER) {
            leadership.receive(nowMs, message);
        }
    }

    private void heard(long nowMs, Envelope message) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term);
        }
        follow(nowMs, message.term(), message.from());
        lastHeardMs = nowMs;
        electionDueMs = nextElectionMs(nowMs);
    }

    /** Becomes a follower in the term, under the leader if one is known. */
    void follow(long nowMs, long newTerm, long newLeader) {
        boolean acted = role != Role.FOLLOWER;
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
        }
        if (leadership != null) {
            Leadership lost = leadership;
            leadership = null;
            lost.abandon();
        }
        role = Role.FOLLOWER;
        leaderId = newLeader;
        if (acted) {
            electionDueMs = nextElectionMs(nowMs);
        }
    }

    private void retire() {
        follow(0, term, 0);
        retired = true;
        events.add(new CoreEvent.Retired());
    }

    private void noticeRemoval() {
        if (!retired && history.at(commitIndex).retired().contains(options.selfId())) {
            retire();
        }
    }

    // Elections

    private boolean alone() {
        Membership members = history.current();
        return members.votes(options.selfId()) && members.voters().size() == 1;
    }

    private long nextElectionMs(long nowMs) {
        long spread = options.electionMaxMs() - options.electionMinMs();
        return nowMs + options.electionMinMs() + random.nextLong(spread + 1);
    }

    private boolean mayCampaign() {
        return history.current()
                        .find(options.selfId())
                        .filter(m -> m.voting() && m.admits(incarnation))
                        .isPresent()
                && !receiver.finishing();
    }

    private void startPreVote(long nowMs) {
        electionDueMs = nextElectionMs(nowMs);
        if (!mayCampaign()) {
            return;
        }
        role = Role.PRE_CANDIDATE;
        leaderId = 0;
        votes.clear();
        votes.put(options.selfId(), incarnation);
        if (history.current().elects(votes.keySet())) {
            campaign(nowMs, false);
            return;
        }
        Message request = new Message.PreVoteRequest(log.lastIndex(), log.lastTerm());
        otherVoters().forEach(m -> sendNow.add(outgoing(m.id(), m.address(), term + 1, request)));
    }

    private void answerPreVote(long nowMs, Envelope message, Message.PreVoteRequest request) {
        boolean granted =
                message.term() > term && !leaderIsNear(nowMs) && upToDate(request.lastIndex(), request.lastTerm());
        sendNow.add(outgoing(
                message.from(),
                message.fromAddress(),
                granted ? message.term() : term,
                new Message.PreVoteResponse(granted)));
    }

    private void takePreVote(long nowMs, Envelope message, Message.PreVoteResponse answer) {
        if (role != Role.PRE_CANDIDATE || !answer.granted()) {
            return;
        }
        votes.put(message.from(), message.fromIncarnation());
        if (history.current().elects(votes.keySet())) {
            campaign(nowMs, false);
        }
    }

    private void campaign(long nowMs, boolean transfer) {
        role = Role.CANDIDATE;
        term++;
        votedFor = options.selfId();
        ownVoteTerm = term;
        leaderId = 0;
        votes.clear();
        electionDueMs = nextElectionMs(nowMs);
        Message request = new Message.VoteRequest(log.lastIndex(), log.lastTerm(), transfer);
        otherVoters().forEach(m -> sendDurable(m.id(), m.address(), request));
    }

    private void answerVote(long nowMs, Envelope message, Message.VoteRequest request) {
        boolean granted = (votedFor == 0 || votedFor == message.from())
                && role == Role.FOLLOWER
                && upToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            votedFor = message.from();
            electionDueMs = nextElectionMs(nowMs);
        }
        reply(message, new Message.VoteResponse(granted));
    }

    private void takeVote(long nowMs, Envelope message, Message.VoteResponse answer) {
        if (role == Role.CANDIDATE && answer.granted()) {
            countVote(nowMs, message.from(), message.fromIncarnation());
        }
    }

    private void countVote(long nowMs, long from, long fromIncarnation) {
        votes.put(from, fromIncarnation);
        if (votes.containsKey(options.selfId()) && history.current().elects(votes.keySet())) {
            lead(nowMs);
        }
    }

    private void lead(long nowMs) {
        role = Role.LEADER;
        leaderId = options.selfId();
        leadership = new Leadership(this, nowMs);
        Membership members = history.current();
        if (members.formed()) {
            appendOwn(EntryKind.NOOP, new byte[0]);
        } else {
            appendOwn(EntryKind.MEMBERSHIP, MessageCodec.encodeMembership(members.bound(votes)));
        }
        leadership.begin(nowMs);
    }

    private void takeTransfer(long nowMs, Envelope message) {
        if (role == Role.FOLLOWER && leaderId == message.from() && mayCampaign()) {
            campaign(nowMs, true);
        }
    }

    private boolean upToDate(long lastIndex, long lastTerm) {
        return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
    }

    private List<MemberRecord> otherVoters() {
        return history.current().voters().stream()
                .filter(m -> m.id() != options.selfId())
                .toList();
    }

    // The log

    long appendOwn(EntryKind kind, byte[] payload) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, payload);
        addEntry(entry);
        return entry.index();
    }

    private void addEntry(LogEntry entry) {
        log.append(entry);
        history.append(entry);
    }

    private void append(Envelope message, Message.AppendRequest request) {
        if (receiver.finishing()) {
            return;
        }
        long prev = request.prevIndex();
        if (prev > commitIndex && log.term(prev) != request.prevTerm()) {
            long hint = Math.min(prev - 1, log.lastCandidate(prev, request.prevTerm()));
            reply(
                    message,
                    new Message.AppendResponse(
                            false, Math.max(hint, commitIndex), prev, request.round(), request.sentMs()));
            return;
        }
        request.entries().forEach(this::takeEntry);
        long lastNew = prev + request.entries().size();
        commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), lastNew));
        reply(message, new Message.AppendResponse(true, lastNew, prev, request.round(), request.sentMs()));
    }

    private void takeEntry(LogEntry entry) {
        if (entry.index() <= commitIndex || log.term(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= log.lastIndex()) {
            cutFrom(entry.index());
        }
        addEntry(entry);
    }

    private void cutFrom(long index) {
        log.truncateFrom(index);
        history.truncateFrom(index);
        disk.truncateFrom(index);
        if (index <= writtenIndex) {
            writtenIndex = index - 1;
            truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        }
    }

    // Snapshots

    private void receiveChunk(Envelope message, Message.SnapshotChunk chunk) {
        if (receiver.finishing()) {
            return;
        }
        long index = chunk.snapshotIndex();
        if (index > commitIndex && log.term(index) == chunk.snapshotTerm()) {
            commitIndex = index;
        }
        if (index <= commitIndex) {
            reply(message, new Message.AppendResponse(true, index, index, chunk.round(), chunk.sentMs()));
            return;
        }
        long wanted = receiver.offer(chunk);
        if (!receiver.finishing()) {
            reply(message, new Message.SnapshotResponse(index, wanted, chunk.round(), chunk.sentMs()));
        }
    }

    private void adoptSnapshot(SnapshotMeta meta) {
        if (meta.index() <= commitIndex) {
            return;
        }
        snapshot = meta;
        log.reset(meta.index(), meta.term());
        history.reset(meta.index(), meta.membership());
        disk.reset(meta.index());
        writtenIndex = meta.index();
        truncateFrom = 0;
        commitIndex = meta.index();
        issuedApplyIndex = meta.index();
        bytesSinceSnapshot = 0;
        takenSnapshot = Optional.empty();
        snapshotWanted = false;
        restore = Optional.of(meta);
    }

    private void snapshotSaved(SnapshotMeta meta) {
        snapshotWanted = false;
        if (meta.index() <= snapshot.index()) {
            return;
        }
        snapshot = meta;
        long through = meta.index() - options.retainedEntries();
        if (through > log.baseIndex()) {
            log.compactThrough(through);
            history.compactThrough(through);
            compactThrough = through;
        }
    }

    private boolean wantsSnapshot() {
        boolean due = issuedApplyIndex - snapshot.index() >= options.snapshotEveryEntries()
                || bytesSinceSnapshot >= options.snapshotEveryBytes();
        boolean sending = leadership != null && leadership.sendsSnapshot();
        if (!due || sending || snapshotWanted || receiver.finishing() || issuedApplyIndex == snapshot.index()) {
            return false;
        }
        snapshotWanted = true;
        bytesSinceSnapshot = 0;
        return true;
    }

    // Outputs

    private List<Ready.Apply> takeApplies() {
        long through = Math.min(commitIndex, disk.durableIndex());
        List<Ready.Apply> applies = new ArrayList<>();
        while (issuedApplyIndex < through) {
            issuedApplyIndex++;
            LogEntry entry = log.get(issuedApplyIndex);
            bytesSinceSnapshot += entry.payload().length;
            long token = leadership == null ? 0 : leadership.takeToken(issuedApplyIndex);
            applies.add(new Ready.Apply(entry, token));
        }
        return applies;
    }

    private Optional<DiskWrite> takeWrite() {
        Vote vote = new Vote(term, votedFor);
        Optional<Message.SnapshotChunk> chunk = receiver.takeChunk();
        boolean nothing = vote.equals(writtenVote)
                && truncateFrom == 0
                && writtenIndex == log.lastIndex()
                && chunk.isEmpty()
                && takenSnapshot.isEmpty()
                && compactThrough == 0;
        if (nothing) {
            return Optional.empty();
        }
        List<LogEntry> entries =
                writtenIndex == log.lastIndex() ? List.of() : log.slice(writtenIndex + 1, Integer.MAX_VALUE);
        DiskQueue.Pending pending = disk.issue(log.lastIndex());
        pending.ownVoteTerm = ownVoteTerm;
        pending.snapshot = takenSnapshot.map(DiskWrite.TakenSnapshot::meta);
        DiskWrite write = new DiskWrite(
                pending.id,
                vote.equals(writtenVote) ? Optional.empty() : Optional.of(vote),
                truncateFrom,
                entries,
                chunk,
                takenSnapshot,
                compactThrough);
        writtenVote = vote;
        writtenIndex = log.lastIndex();
        truncateFrom = 0;
        ownVoteTerm = 0;
        takenSnapshot = Optional.empty();
        compactThrough = 0;
        return Optional.of(write);
    }

    // Sending

    private Optional<Leadership> leaderOr(long token) {
        if (leadership == null || retired) {
            String hint = history.current()
                    .find(leaderId)
                    .map(m -> m.id() + " at " + m.address())
                    .orElse("the other control hosts");
            fail(token, Failure.of(ErrorKind.NOT_LEADER, hint));
            return Optional.empty();
        }
        return Optional.of(leadership);
    }

    void fail(long token, Failure failure) {
        events.add(new CoreEvent.RequestFailed(token, failure));
    }

    void emit(CoreEvent event) {
        events.add(event);
    }

    void sendNow(MemberRecord to, long toIncarnation, Message body) {
        sendNow.add(new Outgoing(to.address(), envelope(to.id(), toIncarnation, term, body)));
    }

    void readChunk(MemberRecord to, long toIncarnation, Message.SnapshotChunk empty) {
        chunkReads.add(
                new ChunkRead(to.address(), envelope(to.id(), toIncarnation, term, empty), options.chunkBytes()));
    }

    private void sendDurable(long to, String address, Message body) {
        sendDurable.add(outgoing(to, address, term, body));
    }

    private void reply(Envelope request, Message body) {
        sendDurable.add(
                new Outgoing(request.fromAddress(), envelope(request.from(), request.fromIncarnation(), term, body)));
    }

    private Outgoing outgoing(long to, String address, long messageTerm, Message body) {
        long toIncarnation =
                history.current().find(to).map(MemberRecord::incarnation).orElse(MemberRecord.UNBOUND);
        return new Outgoing(address, envelope(to, toIncarnation, messageTerm, body));
    }

    private Envelope envelope(long to, long toIncarnation, long messageTerm, Message body) {
        return new Envelope(options.selfId(), incarnation, options.selfAddress(), to, toIncarnation, messageTerm, body);
    }
}
