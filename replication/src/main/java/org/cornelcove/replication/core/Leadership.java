package org.cornelcove.replication.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * What a leader does and knows in one term; thrown away with the term.
 *
 * <p>Reads. A member answers a request with the leader's clock at which it was sent, and votes for nobody within the
 * shortest election timeout after it. So while a majority answered requests sent within the lease, which is shorter by
 * the drift bound, nobody else can have been elected, and what is committed here is all that is committed. Outside the
 * lease a read waits for a majority to answer a round that began after the read. A leader that has asked another
 * member to take over uses rounds only, because that election passes over the timeouts.
 *
 * <p>Membership. A change is appended only when the last one is committed and an entry of this term is committed. A
 * learner is promoted once it holds all that was committed at the last heartbeat. A request to add a member is done once
 * the member votes, and it holds everything committed at that moment.
 */
final class Leadership {
    private static final int MAX_APPEND_BYTES = 1 << 20;
    private static final int MAX_UNANSWERED_ENTRIES = 8192;
    private static final int MAX_UNCOMMITTED_ENTRIES = 65_536;
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private record Proposal(long index, long token) {}

    private static final class Read {
        final long token;
        final long round;
        long index = -1;

        Read(long token, long round) {
            this.token = token;
            this.round = round;
        }
    }

    private static final class MemberChange {
        final long token;
        final long id;
        final boolean adding;
        long wantedMatchIndex = -1;

        MemberChange(long token, long id, boolean adding) {
            this.token = token;
            this.id = id;
            this.adding = adding;
        }
    }

    private final ReplicaCore core;
    private final long term;
    private final long sinceMs;
    private final Map<Long, Progress> progress = new HashMap<>();
    private final ArrayDeque<Proposal> proposals = new ArrayDeque<>();
    private final List<Read> reads = new ArrayList<>();
    private final List<MemberChange> changes = new ArrayList<>();
    private long firstIndex;
    private long round;
    private boolean roundDue;
    private long heartbeatDueMs;
    private long promotionIndex = Long.MAX_VALUE;
    private boolean gained;
    private long transferToken;
    private long transferTo;
    private long transferDueMs;
    private boolean transferSent;

    Leadership(ReplicaCore core, long nowMs) {
        this.core = core;
        this.term = core.term();
        this.sinceMs = nowMs;
    }

    /** Begins after the first entry of the term was appended. */
    void begin(long nowMs) {
        firstIndex = core.log.lastIndex();
        heartbeatDueMs = nowMs;
        tick(nowMs);
    }

    void tick(long nowMs) {
        long heardMs = reachedByMajority(nowMs, p -> Math.max(sinceMs, p.answeredSentMs));
        if (nowMs - heardMs > core.options.electionMaxMs()) {
            core.follow(nowMs, term, 0);
            return;
        }
        if (transferTo != 0 && nowMs >= transferDueMs) {
            core.fail(transferToken, Failure.of(ErrorKind.NO_QUORUM));
            transferTo = 0;
        }
        if (nowMs >= heartbeatDueMs) {
            heartbeatDueMs = nowMs + core.options.heartbeatMs();
            promotionIndex = core.commitIndex;
            followers().forEach(m -> heartbeat(nowMs, m));
        }
    }

    void propose(long token, byte[] command) {
        if (transferTo != 0) {
            core.fail(token, Failure.of(ErrorKind.NOT_LEADER, transferTo));
        } else if (core.log.lastIndex() - core.commitIndex >= MAX_UNCOMMITTED_ENTRIES) {
            core.fail(token, Failure.of(ErrorKind.NO_QUORUM));
        } else {
            proposals.add(new Proposal(core.appendOwn(EntryKind.COMMAND, command), token));
        }
    }

    void readBarrier(long token) {
        if (!roundDue) {
            round++;
            roundDue = true;
        }
        reads.add(new Read(token, round));
    }

    void addMember(long nowMs, long token, long id, String address) {
        Membership members = core.history.current();
        if (members.retired().contains(id)) {
            core.fail(token, Failure.of(ErrorKind.MEMBER_RETIRED, id));
        } else if (members.find(id).isPresent()) {
            changes.add(new MemberChange(token, id, true));
        } else if (!mayChangeMembers()) {
            core.fail(token, Failure.of(ErrorKind.MEMBERSHIP_CHANGE_PENDING));
        } else {
            changeMembers(members.with(new MemberRecord(id, address, false, MemberRecord.UNBOUND)));
            changes.add(new MemberChange(token, id, true));
        }
    }

    void removeMember(long token, long id) {
        Membership members = core.history.current();
        boolean known = members.find(id).isPresent();
        if (known && members.without(id).voters().isEmpty()) {
            core.fail(token, Failure.of(ErrorKind.NO_QUORUM));
        } else if (!known && !members.retired().contains(id)) {
            core.fail(token, Failure.of(ErrorKind.MEMBER_UNKNOWN, id));
        } else if (known && !mayChangeMembers()) {
            core.fail(token, Failure.of(ErrorKind.MEMBERSHIP_CHANGE_PENDING));
        } else {
            if (known) {
                changeMembers(members.without(id));
            }
            changes.add(new MemberChange(token, id, false));
        }
    }

    void transfer(long nowMs, long token) {
        Optional<MemberRecord> best = followers().stream()
                .filter(m -> m.voting() && active(nowMs, progressOf(m)))
                .max((a, b) -> Long.compare(progressOf(a).matchIndex, progressOf(b).matchIndex));
        if (best.isEmpty() || transferTo != 0) {
            core.fail(token, Failure.of(ErrorKind.NO_QUORUM));
            return;
        }
        transferToken = token;
        transferTo = best.get().id();
        transferDueMs = nowMs + core.options.electionMaxMs();
    }

    void applied() {
        if (!gained && core.appliedIndex >= firstIndex) {
            gained = true;
            core.emit(new CoreEvent.LeadershipGained(term));
        }
    }

    long takeToken(long index) {
        if (proposals.isEmpty() || proposals.peek().index() != index) {
            return 0;
        }
        return proposals.poll().token();
    }

    boolean sendsSnapshot() {
        return progress.values().stream().anyMatch(p -> p.mode == Progress.Mode.SNAPSHOT);
    }

    /** Ends the term: nothing that was asked for can be promised any more. */
    void abandon() {
        Failure unknown = Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN);
        proposals.forEach(p -> core.fail(p.token(), unknown));
        changes.forEach(c -> core.fail(c.token, unknown));
        reads.forEach(r -> core.fail(r.token, Failure.of(ErrorKind.NOT_LEADER, "the other control hosts")));
        if (transferTo != 0) {
            core.emit(new CoreEvent.RequestDone(transferToken, 0));
        }
        if (gained) {
            core.emit(new CoreEvent.LeadershipLost(term));
        }
    }

    /** Does what the answers since the last call allow. */
    void advance(long nowMs) {
        commit(nowMs);
        promoteLearners(nowMs);
        answerChanges();
        answerReads(nowMs);
        sendTransfer();
        if (roundDue) {
            roundDue = false;
            followers().forEach(m -> heartbeat(nowMs, m));
        }
        followers().forEach(m -> sendEntries(nowMs, m));
    }

    void receive(long nowMs, Envelope message) {
        Optional<MemberRecord> member = core.history.current().find(message.from());
        if (member.isEmpty() || message.from() == core.options.selfId()) {
            return;
        }
        Progress p = progressOf(member.get());
        if (p.incarnation != MemberRecord.UNBOUND && p.incarnation != message.fromIncarnation()) {
            core.refuseRetired(message);
            return;
        }
        p.incarnation = message.fromIncarnation();
        if (message.body() instanceof Message.AppendResponse answer) {
            p.answered(answer.round(), answer.sentMs());
            takeAnswer(p, answer);
        } else if (message.body() instanceof Message.SnapshotResponse answer) {
            p.answered(answer.round(), answer.sentMs());
            takeSnapshotAnswer(p, answer);
        }
    }

    private void takeAnswer(Progress p, Message.AppendResponse answer) {
        if (!answer.success()) {
            boolean stale = answer.prevIndex() <= p.matchIndex
                    || p.mode == Progress.Mode.SNAPSHOT
                    || p.mode == Progress.Mode.PROBE && answer.prevIndex() != p.nextIndex - 1;
            if (!stale) {
                p.probeFrom(Math.min(answer.index() + 1, answer.prevIndex()));
            }
            return;
        }
        p.matchIndex = Math.max(p.matchIndex, answer.index());
        boolean agreed = p.mode == Progress.Mode.PROBE && answer.index() >= p.nextIndex - 1
                || p.mode == Progress.Mode.SNAPSHOT && answer.index() >= p.snapshotIndex;
        if (agreed) {
            p.mode = Progress.Mode.STREAM;
            p.nextIndex = p.matchIndex + 1;
        }
        p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
    }

    private void takeSnapshotAnswer(Progress p, Message.SnapshotResponse answer) {
        if (p.mode == Progress.Mode.SNAPSHOT && answer.snapshotIndex() == p.snapshotIndex) {
            p.snapshotOffset = answer.nextOffset();
            p.chunkSent = false;
        }
    }

    // Commit

    private long reachedByMajority(long own, ToLongFunction<Progress> value) {
        return core.history
                .current()
                .reachedByMajority(m -> m.id() == core.options.selfId() ? own : value.applyAsLong(progressOf(m)));
    }

    private void commit(long nowMs) {
        long index = reachedByMajority(core.disk.durableIndex(), p -> p.matchIndex);
        if (index > core.commitIndex && core.log.term(index) == term) {
            core.commitIndex = index;
            boolean removed = core.commitIndex >= core.history.currentIndex()
                    && !core.history.current().votes(core.options.selfId());
            if (removed) {
                followers().forEach(m -> heartbeat(nowMs, m));
            }
        }
    }

    private void answerReads(long nowMs) {
        if (core.commitIndex < firstIndex) {
            return;
        }
        boolean leased = holdsLease(nowMs);
        long answeredRound = reachedByMajority(Long.MAX_VALUE, p -> p.answeredRound);
        for (Iterator<Read> all = reads.iterator(); all.hasNext(); ) {
            Read read = all.next();
            boolean confirmed = leased || answeredRound >= read.round;
            if (read.index < 0 && confirmed) {
                read.index = core.commitIndex;
            }
            if (read.index >= 0 && core.appliedIndex >= read.index) {
                core.emit(new CoreEvent.RequestDone(read.token, core.appliedIndex));
                all.remove();
            }
        }
    }

    private boolean holdsLease(long nowMs) {
        return !transferSent && nowMs - reachedByMajority(nowMs, p -> p.answeredSentMs) < core.options.leaseMs();
    }

    // Membership

    private boolean mayChangeMembers() {
        return core.history.currentIndex() <= core.commitIndex && core.commitIndex >= firstIndex && transferTo == 0;
    }

    private void changeMembers(Membership next) {
        core.appendOwn(EntryKind.MEMBERSHIP, MessageCodec.encodeMembership(next));
        progress.keySet().removeIf(id -> next.find(id).isEmpty());
    }

    private void promoteLearners(long nowMs) {
        for (MemberRecord member : followers()) {
            Progress p = progressOf(member);
            boolean caughtUp = p.mode == Progress.Mode.STREAM
                    && active(nowMs, p)
                    && p.matchIndex >= Math.max(promotionIndex, core.history.currentIndex());
            if (!member.voting() && caughtUp && mayChangeMembers()) {
                changeMembers(core.history
                        .current()
                        .with(new MemberRecord(member.id(), member.address(), true, p.incarnation)));
            }
        }
    }

    private void answerChanges() {
        Membership committed = core.history.at(core.commitIndex);
        for (Iterator<MemberChange> all = changes.iterator(); all.hasNext(); ) {
            MemberChange change = all.next();
            if (change.adding
                    ? added(committed, change)
                    : committed.find(change.id).isEmpty()) {
                core.emit(new CoreEvent.RequestDone(change.token, 0));
                all.remove();
            }
        }
    }

    private boolean added(Membership committed, MemberChange change) {
        if (!committed.votes(change.id)) {
            return false;
        }
        if (change.wantedMatchIndex < 0) {
            change.wantedMatchIndex = core.commitIndex;
        }
        return change.id == core.options.selfId()
                || progressOf(committed.find(change.id).get()).matchIndex >= change.wantedMatchIndex;
    }

    private void sendTransfer() {
        if (transferTo == 0 || transferSent) {
            return;
        }
        core.history.current().find(transferTo).ifPresent(m -> {
            if (progressOf(m).matchIndex == core.log.lastIndex()) {
                transferSent = true;
                core.sendNow(m, known(m), new Message.TransferLeadership());
            }
        });
    }

    // Sending

    private List<MemberRecord> followers() {
        return core.history.current().members().stream()
                .filter(m -> m.id() != core.options.selfId())
                .toList();
    }

    private Progress progressOf(MemberRecord member) {
        return progress.computeIfAbsent(member.id(), id -> new Progress(core.log.lastIndex() + 1, NEVER_MS));
    }

    private boolean active(long nowMs, Progress p) {
        return nowMs - p.answeredSentMs <= core.options.electionMaxMs();
    }

    private long known(MemberRecord member) {
        return member.incarnation() != MemberRecord.UNBOUND ? member.incarnation() : progressOf(member).incarnation;
    }

    private void heartbeat(long nowMs, MemberRecord member) {
        Progress p = progressOf(member);
        p.probeSent = false;
        if (p.mode == Progress.Mode.SNAPSHOT && !active(nowMs, p)) {
            p.probeFrom(p.nextIndex);
        }
        if (p.mode == Progress.Mode.SNAPSHOT && nowMs - p.chunkSentMs >= core.options.electionMinMs()) {
            p.chunkSent = false;
        }
        boolean comparable = p.mode != Progress.Mode.SNAPSHOT && p.nextIndex > core.log.baseIndex();
        sendAppend(nowMs, member, comparable ? p.nextIndex - 1 : 0, List.of());
    }

    private void sendAppend(long nowMs, MemberRecord member, long prevIndex, List<LogEntry> entries) {
        long prevTerm = prevIndex == 0 ? 0 : core.log.term(prevIndex);
        core.sendNow(
                member,
                known(member),
                new Message.AppendRequest(prevIndex, prevTerm, core.commitIndex, round, nowMs, entries));
    }

    private void sendEntries(long nowMs, MemberRecord member) {
        Progress p = progressOf(member);
        if (p.mode != Progress.Mode.SNAPSHOT && p.nextIndex <= core.log.baseIndex() && active(nowMs, p)) {
            beginSnapshot(p);
        }
        switch (p.mode) {
            case SNAPSHOT -> sendChunk(nowMs, member, p);
            case PROBE -> sendProbe(nowMs, member, p);
            default -> sendStream(nowMs, member, p);
        }
    }

    private void sendProbe(long nowMs, MemberRecord member, Progress p) {
        if (!p.probeSent && p.nextIndex > core.log.baseIndex()) {
            p.probeSent = true;
            sendAppend(nowMs, member, p.nextIndex - 1, List.of());
        }
    }

    private void sendStream(long nowMs, MemberRecord member, Progress p) {
        while (p.nextIndex <= core.log.lastIndex() && p.nextIndex - p.matchIndex <= MAX_UNANSWERED_ENTRIES) {
            List<LogEntry> entries = core.log.slice(p.nextIndex, MAX_APPEND_BYTES);
            sendAppend(nowMs, member, p.nextIndex - 1, entries);
            p.nextIndex += entries.size();
        }
    }

    private void beginSnapshot(Progress p) {
        p.mode = Progress.Mode.SNAPSHOT;
        p.snapshotIndex = core.snapshot.index();
        p.snapshotOffset = 0;
        p.chunkSent = false;
    }

    private void sendChunk(long nowMs, MemberRecord member, Progress p) {
        if (p.snapshotIndex != core.snapshot.index()) {
            beginSnapshot(p);
        }
        if (p.chunkSent) {
            return;
        }
        p.chunkSent = true;
        p.chunkSentMs = nowMs;
        core.readChunk(
                member,
                known(member),
                new Message.SnapshotChunk(
                        core.snapshot.index(),
                        core.snapshot.term(),
                        p.snapshotOffset,
                        false,
                        round,
                        nowMs,
                        new byte[0]));
    }
}
