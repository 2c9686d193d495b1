package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.control.state.EntryRecord;
import org.cornelcove.control.state.Ownership;
import org.cornelcove.control.state.OwnershipTable;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.TargetOwnership;
import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.AssignRange;
import org.cornelcove.model.command.AssignTarget;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * The leader's periodic work for the entries: assigns targets and ranges, settles epochs whose previous owners can no
 * longer act, and marks open claims of lapsed or restarted entries as unknown.
 *
 * <p>A round is planned only when every command of the previous round has completed. Settling is an assignment to the
 * same owner, so one that was planned before a move and applied after it would undo the move. The handover of every
 * unsettled epoch is recorded before the epoch is moved again: otherwise, if an owner lapsed between two rounds, the
 * wait for the owner before it would be dropped.
 */
final class EntryLoop {
    /** The maximum number of targets that change owner in one round. */
    private static final int MAX_MOVES = 256;

    private static final String RANGES_GROUP = "ranges";

    private final EntryBoard board;

    EntryLoop(EntryBoard board) {
        this.board = board;
    }

    /** Returns the commands that are due. */
    List<Command> due(Tables tables, long nowMs) {
        List<Command> commands = new ArrayList<>();
        if (board.gathering(nowMs)) {
            return commands;
        }
        board.forgetSilent(nowMs);
        abandonClaims(tables, nowMs, commands);
        Set<TargetId> movedTargets = moveTargets(tables, nowMs, commands);
        settleTargets(tables, nowMs, movedTargets, commands);
        Set<Integer> movedRanges = moveRanges(tables, nowMs, commands);
        settleRanges(tables, nowMs, movedRanges, commands);
        return commands;
    }

    private void abandonClaims(Tables tables, long nowMs, List<Command> commands) {
        for (EntryRecord entry : tables.entries().all()) {
            long before = board.lapsed(entry.entry(), nowMs) ? entry.incarnation() + 1 : entry.incarnation();
            if (tables.ledger().hasOpenBefore(entry.entry(), before)) {
                commands.add(new AbandonClaims(entry.entry(), before));
            }
        }
    }

    private Set<TargetId> moveTargets(Tables tables, long nowMs, List<Command> commands) {
        List<Assignable<TargetId>> all = new ArrayList<>();
        for (HeardAnnouncement last : board.announcements()) {
            if (nowMs - last.heardMs() > Leases.TARGET_SILENCE_MS
                    || last.announcement().leaving()) {
                continue;
            }
            TargetId target = last.announcement().target();
            TargetOwnership known = tables.ownership().targets().get(target);
            Optional<EntryId> owner =
                    known == null ? Optional.empty() : known.ownership().owner();
            if (mayMove(owner, nowMs)) {
                all.add(new Assignable<>(
                        target,
                        last.announcement().service(),
                        last.announcement().availabilityZone(),
                        owner));
            }
        }
        Map<TargetId, EntryId> moves = Balancer.INSTANCE.plan(all, board.owners(nowMs), MAX_MOVES);
        moves.forEach((target, entry) -> commands.add(new AssignTarget(target, Optional.of(entry))));
        return moves.keySet();
    }

    private Set<Integer> moveRanges(Tables tables, long nowMs, List<Command> commands) {
        List<Assignable<Integer>> all = new ArrayList<>();
        for (int range = 0; range < OwnershipTable.RANGES; range++) {
            Optional<EntryId> owner = tables.ownership().ranges().get(range).owner();
            if (mayMove(owner, nowMs)) {
                all.add(new Assignable<>(range, RANGES_GROUP, "", owner));
            }
        }
        Map<Integer, EntryId> moves = Balancer.INSTANCE.plan(all, board.owners(nowMs), OwnershipTable.RANGES);
        moves.forEach((range, entry) -> commands.add(new AssignRange(range, Optional.of(entry))));
        return moves.keySet();
    }

    /** Returns false for an owner that may hold a lease but has not sent a heartbeat to this leader yet. */
    private boolean mayMove(Optional<EntryId> owner, long nowMs) {
        return owner.isEmpty() || board.find(owner.get()).isPresent() || board.lapsed(owner.get(), nowMs);
    }

    private void settleTargets(Tables tables, long nowMs, Set<TargetId> moved, List<Command> commands) {
        for (TargetOwnership target : tables.ownership().targets().values()) {
            // Also called for a moved target: the handover recorded here bounds the wait of the next epoch.
            boolean handedOver = !target.ownership().settled() && board.handedOver(target, tables, nowMs);
            if (moved.contains(target.target())) {
                continue;
            }
            boolean silent = board.longSilent(target.target(), nowMs);
            if (silent && target.ownership().owner().isPresent()) {
                commands.add(new AssignTarget(target.target(), Optional.empty()));
            } else if (handedOver) {
                commands.add(
                        new AssignTarget(target.target(), target.ownership().owner()));
            } else if (target.ownership().settled()) {
                board.settled(target.target());
            }
        }
    }

    private void settleRanges(Tables tables, long nowMs, Set<Integer> moved, List<Command> commands) {
        for (int range = 0; range < OwnershipTable.RANGES; range++) {
            Ownership ownership = tables.ownership().ranges().get(range);
            boolean handedOver = !ownership.settled() && board.handedOver(range, ownership, tables, nowMs);
            if (handedOver && !moved.contains(range)) {
                commands.add(new AssignRange(range, ownership.owner()));
            }
        }
    }
}
