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
 * The leader's state in one term, discarded at its end.
 *
 * <p>Reads. A response carries the leader's clock at which its request was sent; its sender grants no vote within the
 * minimum election timeout after it. The lease is shorter by the clock drift bound, so while a majority answered
 * requests sent within it, no other leader can have been elected and the commit index here is current. Otherwise, and
 * after sending a leadership transfer, which bypasses the timeouts, a read waits for a majority to answer a new round.
 * A leader whose transfer was sent and failed becomes a follower, since its term stays without a lease.
 *
 * <p>Membership. A change requires that the last change and an entry of this term are committed. A learner is promoted
 * once it holds everything committed at the last heartbeat. An addition is done once the member votes and holds
 * everything committed by then.
 *
 * <p>A member whose folder was restored from an older copy is detected when it rejects a request sent after its
 * acknowledgement of the preceding entries arrived. It is sent {@link Message.MemberRetired}, as its vote could elect a
 * leader without those entries. Only the leader that got the acknowledgement can detect it, see {@link Progress}.
 */
final class Leadership {
    private static final int MAX_UNANSWERED_ENTRIES = 8192;
    private static final int MAX_UNCOMMITTED_ENTRIES = 65_536;
    /** The time of an event that never happened. */
    static final long NEVER_MS = Long.MIN_VALUE / 2;

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

    private final ReplicaCore core;
    private final long term;
    private final long electedMs;
    private final Map<Long, Progress> progress = new HashMap<>();
    private final ArrayDeque<Proposal> proposals = new ArrayDeque<>();
    private final List<Read> reads = new ArrayList<>();
    private final List<MemberChange> changes = new ArrayList<>();
    private long firstIndex;
    private long round;
    private boolean roundDue;
    private long heartbeatDueMs;
    private long promotionIndex = Long.MAX_VALUE;
    private boolean gainReported;
    private long transferToken;
    private long transferTo;
    private long transferDueMs;
    private boolean transferSent;

    Leadership(ReplicaCore core, long nowMs) {
        this.core = core;
        this.term = core.term();
        this.electedMs = nowMs;
    }

    /** Starts the term; its first entry must be in the log. */
    void start(long nowMs) {
        firstIndex = core.log.tail.lastIndex();
        heartbeatDueMs = nowMs;
        tick(nowMs);
    }

    void tick(long nowMs) {
        long quorumContactMs = quorumValue(nowMs, p -> Math.max(electedMs, p.answeredSentMs));
        if (nowMs - quorumContactMs > core.options.electionMaxMs()) {
            core.becomeFollower(nowMs, term, 0);
            return;
        }
        if (transferTo != 0 && nowMs >= transferDueMs) {
            core.outbox.fail(transferToken, Failure.of(ErrorKind.NO_QUORUM));
            transferTo = 0;
            if (transferSent) {
                // The message may still arrive and elect the other member; only a later term refuses it.
                core.becomeFollower(nowMs, term, 0);
                return;
            }
        }
        if (nowMs >= heartbeatDueMs) {
            heartbeatDueMs = nowMs + core.options.heartbeatMs();
            promotionIndex = core.log.commitIndex();
            followers().forEach(m -> heartbeat(nowMs, m));
        }
    }

    void propose(long token, byte[] command) {
        if (transferTo != 0) {
            core.outbox.fail(token, Failure.of(ErrorKind.NOT_LEADER, transferTo));
        } else if (core.log.tail.lastIndex() - core.log.commitIndex() >= MAX_UNCOMMITTED_ENTRIES) {
            core.outbox.fail(token, Failure.of(ErrorKind.NO_QUORUM));
        } else {
            proposals.add(new Proposal(core.log.append(term, EntryKind.COMMAND, command), token));
        }
    }

    void readBarrier(long token) {
        if (!roundDue) {
            round++;
            roundDue = true;
        }
        reads.add(new Read(token, round));
    }

    void addMember(long token, long id, String address) {
        Membership members = core.log.membership();
        if (members.retired().contains(id)) {
            core.outbox.fail(token, Failure.of(ErrorKind.MEMBER_RETIRED, id));
        } else if (members.find(id).isPresent()) {
            changes.add(new MemberChange(token, id, true));
        } else if (!mayChangeMembers()) {
            core.outbox.fail(token, Failure.of(ErrorKind.MEMBERSHIP_CHANGE_PENDING));
        } else {
            appendMembership(members.with(new MemberRecord(id, address, false, MemberRecord.UNBOUND)));
            changes.add(new MemberChange(token, id, true));
        }
    }

    void removeMember(long token, long id) {
        Membership members = core.log.membership();
        boolean known = members.find(id).isPresent();
        if (known && members.without(id).voters().isEmpty()) {
            core.outbox.fail(token, Failure.of(ErrorKind.NO_QUORUM));
        } else if (!known && !members.retired().contains(id)) {
            core.outbox.fail(token, Failure.of(ErrorKind.MEMBER_UNKNOWN, id));
        } else if (known && !mayChangeMembers()) {
            core.outbox.fail(token, Failure.of(ErrorKind.MEMBERSHIP_CHANGE_PENDING));
        } else {
            if (known) {
                appendMembership(members.without(id));
            }
            changes.add(new MemberChange(token, id, false));
        }
    }

    void transfer(long nowMs, long token) {
        Optional<MemberRecord> mostUpToDate = followers().stream()
                .filter(m -> m.voting() && active(nowMs, progressOf(m)))
                .max((a, b) -> Long.compare(progressOf(a).matchIndex, progressOf(b).matchIndex));
        if (mostUpToDate.isEmpty() || transferTo != 0) {
            core.outbox.fail(token, Failure.of(ErrorKind.NO_QUORUM));
            return;
        }
        transferToken = token;
        transferTo = mostUpToDate.get().id();
        transferDueMs = nowMs + core.options.electionMaxMs();
    }

    void applied() {
        if (!gainReported && core.log.appliedIndex() >= firstIndex) {
            gainReported = true;
            core.outbox.emit(new CoreEvent.LeadershipGained(term));
        }
    }

    long takeToken(long index) {
        if (proposals.isEmpty() || proposals.peek().index() != index) {
            return 0;
        }
        return proposals.poll().token();
    }

    boolean isSendingSnapshot() {
        return progress.values().stream().anyMatch(p -> p.mode == Progress.Mode.SNAPSHOT);
    }

    /** Fails all pending requests at the end of the term. */
    void abandon() {
        Failure unknown = Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN);
        proposals.forEach(p -> core.outbox.fail(p.token(), unknown));
        changes.forEach(c -> core.outbox.fail(c.token, unknown));
        reads.forEach(r -> core.outbox.fail(r.token, Failure.of(ErrorKind.NOT_LEADER, "the other control hosts")));
        if (transferTo != 0) {
            core.outbox.emit(new CoreEvent.RequestDone(transferToken, 0));
        }
        if (gainReported) {
            core.outbox.emit(new CoreEvent.LeadershipLost(term));
        }
    }

    /** Commits, promotes, completes requests and sends entries, as far as the responses so far allow. */
    void advance(long nowMs) {
        commit(nowMs);
        promoteLearners(nowMs);
        completeChanges();
        completeReads(nowMs);
        sendTransfer();
        if (roundDue) {
            roundDue = false;
            followers().forEach(m -> heartbeat(nowMs, m));
        }
        followers().forEach(m -> sendEntries(nowMs, m));
    }

    void receive(long nowMs, Envelope message) {
        Optional<MemberRecord> member = core.log.membership().find(message.from());
        if (member.isEmpty() || message.from() == core.options.selfId()) {
            return;
        }
        Progress p = progressOf(member.get());
        if (p.incarnation != MemberRecord.UNBOUND && p.incarnation != message.fromIncarnation()) {
            core.outbox.answer(message, term, new Message.MemberRetired());
            return;
        }
        p.incarnation = message.fromIncarnation();
        if (message.body() instanceof Message.AppendResponse answer) {
            if (!answer.success() && core.rules.provesLoss(p, answer)) {
                core.outbox.answer(message, term, new Message.MemberRetired());
                return;
            }
            p.answered(answer.round(), answer.sentMs());
            handleAppendResponse(nowMs, p, answer);
        } else if (message.body() instanceof Message.SnapshotResponse answer) {
            p.answered(answer.round(), answer.sentMs());
            handleSnapshotResponse(p, answer);
        }
    }

    private void handleAppendResponse(long nowMs, Progress p, Message.AppendResponse answer) {
        if (!answer.success()) {
            boolean stale = answer.prevIndex() <= p.matchIndex
                    || p.mode == Progress.Mode.SNAPSHOT
                    || p.mode == Progress.Mode.PROBE && answer.prevIndex() != p.nextIndex - 1;
            if (!stale) {
                p.probeFrom(Math.min(answer.index() + 1, answer.prevIndex()));
            }
            return;
        }
        p.matched(answer.index(), nowMs);
        boolean logsMatch = p.mode == Progress.Mode.PROBE && answer.index() >= p.nextIndex - 1
                || p.mode == Progress.Mode.SNAPSHOT && answer.index() >= p.snapshotIndex;
        if (logsMatch) {
            p.mode = Progress.Mode.STREAM;
            p.nextIndex = p.matchIndex + 1;
        }
        p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
    }

    /** A duplicate triggers no chunk, as each would cause two more messages; the heartbeat retries lost chunks. */
    private void handleSnapshotResponse(Progress p, Message.SnapshotResponse answer) {
        if (p.mode == Progress.Mode.SNAPSHOT && answer.snapshotIndex() == p.snapshotIndex) {
            p.chunkSent &= answer.nextOffset() <= p.snapshotOffset;
            p.snapshotOffset = answer.nextOffset();
        }
    }

    // Commit

    private long quorumValue(long own, ToLongFunction<Progress> value) {
        long[] values = core.rules.quorumMembers(core.log.membership()).stream()
                .mapToLong(m -> m.id() == core.options.selfId() ? own : value.applyAsLong(progressOf(m)))
                .sorted()
                .toArray();
        return values.length == 0 ? 0 : values[(values.length - 1) / 2];
    }

    private void commit(long nowMs) {
        long index = quorumValue(core.log.disk.durableIndex(), p -> p.matchIndex);
        if (index > core.log.commitIndex() && core.rules.mayCommit(core.log.tail.term(index), term)) {
            core.log.commitThrough(index);
            boolean removed = core.log.commitIndex() >= core.log.history.currentIndex()
                    && !core.log.membership().votes(core.options.selfId());
            if (removed) {
                followers().forEach(m -> heartbeat(nowMs, m));
            }
        }
    }

    private void completeReads(long nowMs) {
        if (core.log.commitIndex() < firstIndex) {
            return;
        }
        boolean leaseHeld = holdsLease(nowMs);
        long answeredRound = quorumValue(Long.MAX_VALUE, p -> p.answeredRound);
        for (Iterator<Read> all = reads.iterator(); all.hasNext(); ) {
            Read read = all.next();
            boolean confirmed = leaseHeld || answeredRound >= read.round;
            if (read.index < 0 && confirmed) {
                read.index = core.log.commitIndex();
            }
            if (read.index >= 0 && core.log.appliedIndex() >= read.index) {
                core.outbox.emit(new CoreEvent.RequestDone(read.token, core.log.appliedIndex()));
                all.remove();
            }
        }
    }

    /** Returns the end of the lease, {@link #NEVER_MS} once a leadership transfer was sent. */
    long leaseEndMs(long nowMs) {
        return transferSent ? NEVER_MS : quorumValue(nowMs, p -> p.answeredSentMs) + core.options.leaseMs();
    }

    private boolean holdsLease(long nowMs) {
        return !transferSent && core.rules.leaseCovers(nowMs - quorumValue(nowMs, p -> p.answeredSentMs), core.options);
    }

    // Membership

    private boolean mayChangeMembers() {
        return core.rules.mayChangeMembers(core.log.history.currentIndex(), core.log.commitIndex())
                && core.log.commitIndex() >= firstIndex
                && transferTo == 0;
    }

    private void appendMembership(Membership next) {
        core.log.append(term, EntryKind.MEMBERSHIP, MessageCodec.encodeMembership(next));
        progress.keySet().removeIf(id -> next.find(id).isEmpty());
    }

    private void promoteLearners(long nowMs) {
        for (MemberRecord member : followers()) {
            Progress p = progressOf(member);
            boolean caughtUp = p.mode == Progress.Mode.STREAM
                    && active(nowMs, p)
                    && p.matchIndex >= Math.max(promotionIndex, core.log.history.currentIndex());
            if (!member.voting() && caughtUp && mayChangeMembers()) {
                appendMembership(core.log
                        .membership()
                        .with(new MemberRecord(member.id(), member.address(), true, p.incarnation)));
            }
        }
    }

    private void completeChanges() {
        for (Iterator<MemberChange> all = changes.iterator(); all.hasNext(); ) {
            MemberChange change = all.next();
            if (change.adding && core.log.membership().find(change.id).isEmpty()) {
                core.outbox.fail(change.token, Failure.of(ErrorKind.MEMBER_UNKNOWN, change.id));
                all.remove();
            } else if (change.adding ? added(change) : removed(change)) {
                core.outbox.emit(new CoreEvent.RequestDone(change.token, 0));
                all.remove();
            }
        }
    }

    private boolean removed(MemberChange change) {
        return core.log.committedMembership().find(change.id).isEmpty();
    }

    private boolean added(MemberChange change) {
        boolean votes = core.log.committedMembership().votes(change.id);
        if (votes && change.requiredMatchIndex < 0) {
            change.requiredMatchIndex = core.log.commitIndex();
        }
        long matchIndex = change.id == core.options.selfId()
                ? core.log.tail.lastIndex()
                : progressOf(core.log.membership().find(change.id).get()).matchIndex;
        return core.rules.additionDone(votes, matchIndex, change.requiredMatchIndex);
    }

    private void sendTransfer() {
        if (transferTo == 0 || transferSent) {
            return;
        }
        core.log.membership().find(transferTo).ifPresent(m -> {
            if (progressOf(m).matchIndex == core.log.tail.lastIndex()) {
                transferSent = true;
                core.outbox.send(m, knownIncarnation(m), term, new Message.TransferLeadership());
            }
        });
    }

    // Sending

    List<FollowerView> view(long nowMs) {
        return followers().stream()
                .map(member -> view(nowMs, member.id(), progressOf(member)))
                .toList();
    }

    private FollowerView view(long nowMs, long id, Progress p) {
        long answeredMs = Math.max(electedMs, p.answeredSentMs);
        boolean countsTowardsQuorum = nowMs - answeredMs <= core.options.electionMaxMs();
        return new FollowerView(id, countsTowardsQuorum, nowMs - answeredMs, p.matchIndex);
    }

    private List<MemberRecord> followers() {
        return core.log.membership().members().stream()
                .filter(m -> m.id() != core.options.selfId())
                .toList();
    }

    private Progress progressOf(MemberRecord member) {
        return progress.computeIfAbsent(member.id(), id -> new Progress(core.log.tail.lastIndex() + 1, NEVER_MS));
    }

    private boolean active(long nowMs, Progress p) {
        return nowMs - p.answeredSentMs <= core.options.electionMaxMs();
    }

    private long knownIncarnation(MemberRecord member) {
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
        boolean hasPrevEntry = p.mode != Progress.Mode.SNAPSHOT && p.nextIndex > core.log.tail.baseIndex();
        sendAppend(nowMs, member, hasPrevEntry ? p.nextIndex - 1 : 0, List.of());
    }

    private void sendAppend(long nowMs, MemberRecord member, long prevIndex, List<LogEntry> entries) {
        long prevTerm = prevIndex == 0 ? 0 : core.log.tail.term(prevIndex);
        core.outbox.send(
                member,
                knownIncarnation(member),
                term,
                new Message.AppendRequest(prevIndex, prevTerm, core.log.commitIndex(), round, nowMs, entries));
    }

    private void sendEntries(long nowMs, MemberRecord member) {
        Progress p = progressOf(member);
        if (p.mode != Progress.Mode.SNAPSHOT && p.nextIndex <= core.log.tail.baseIndex() && active(nowMs, p)) {
            startSnapshot(p);
        }
        switch (p.mode) {
            case SNAPSHOT -> sendChunk(nowMs, member, p);
            case PROBE -> sendProbe(nowMs, member, p);
            default -> sendStream(nowMs, member, p);
        }
    }

    private void sendProbe(long nowMs, MemberRecord member, Progress p) {
        if (!p.probeSent && p.nextIndex > core.log.tail.baseIndex()) {
            p.probeSent = true;
            sendAppend(nowMs, member, p.nextIndex - 1, List.of());
        }
    }

    private void sendStream(long nowMs, MemberRecord member, Progress p) {
        while (p.nextIndex > core.log.tail.baseIndex()
                && p.nextIndex <= core.log.tail.lastIndex()
                && p.nextIndex - p.matchIndex <= MAX_UNANSWERED_ENTRIES) {
            List<LogEntry> entries = core.log.tail.slice(p.nextIndex, core.options.maxAppendBytes());
            sendAppend(nowMs, member, p.nextIndex - 1, entries);
            p.nextIndex += entries.size();
        }
    }

    private void startSnapshot(Progress p) {
        p.mode = Progress.Mode.SNAPSHOT;
        p.snapshotIndex = core.log.snapshot().index();
        p.snapshotOffset = 0;
        p.chunkSent = false;
    }

    private void sendChunk(long nowMs, MemberRecord member, Progress p) {
        if (p.snapshotIndex != core.log.snapshot().index()) {
            startSnapshot(p);
        }
        if (p.chunkSent) {
            return;
        }
        p.chunkSent = true;
        p.chunkSentMs = nowMs;
        core.outbox.readChunk(
                member,
                knownIncarnation(member),
                term,
                new Message.SnapshotChunk(
                        core.log.snapshot().index(),
                        core.log.snapshot().term(),
                        p.snapshotOffset,
                        false,
                        round,
                        nowMs,
                        new byte[0]));
    }
}
