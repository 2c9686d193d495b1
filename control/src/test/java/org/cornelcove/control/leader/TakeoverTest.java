package org.cornelcove.control.leader;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/** The grant for a target whose owner lapsed, as its next owner receives it. Commands are committed immediately. */
class TakeoverTest {
    private static final long TICK_MS = 50;
    private static final long LOOP_MS = 250;
    private static final long LIMIT_MS = 60_000;
    private static final TargetAnnouncement ANNOUNCEMENT =
            new TargetAnnouncement(TargetId.of("t"), "booking", "127.0.0.1:1", "z", 8, 60, 3, false);

    private final ControlState state = ControlState.create();
    private final ControlLeader leader =
            ControlLeader.create(state, () -> this.nowMs, this::commit, () -> CompletableFuture.completedFuture(0L));
    private long nowMs = 1_000;
    private long index;
    private long number;

    private CompletableFuture<Outcome> commit(long term, Command command) {
        byte[] outcome = state.apply(++index, Codec.encode(command));
        return CompletableFuture.completedFuture(Codec.decode(outcome, Outcome.class));
    }

    /** Sends a heartbeat with an announcement of age 0. Returns the grant, empty if the heartbeat was refused. */
    private Optional<TargetGrant> sendHeartbeat(String entry) {
        return sendHeartbeat(entry, false);
    }

    private Optional<TargetGrant> sendHeartbeat(String entry, boolean draining) {
        EntryHeartbeat heartbeat = new EntryHeartbeat(
                EntryId.of(entry),
                1,
                "z",
                "127.0.0.1:2",
                "127.0.0.1:3",
                0,
                draining,
                List.of(new HeardTarget(ANNOUNCEMENT, 0)),
                ++number,
                0);
        try {
            EntryLease lease = leader.heartbeat(heartbeat).join();
            return lease.targets().granted().stream().findFirst();
        } catch (CompletionException e) {
            assertThat(e.getCause() instanceof FailureException, is(true));
            return Optional.empty();
        }
    }

    private TargetGrant advanceUntilGranted(String... entries) {
        for (long endMs = nowMs + LIMIT_MS; nowMs < endMs; nowMs += TICK_MS) {
            leader.tick();
            for (String entry : entries) {
                Optional<TargetGrant> grant =
                        nowMs % Leases.ENTRY_HEARTBEAT_MS == 0 ? sendHeartbeat(entry) : Optional.empty();
                if (grant.isPresent()) {
                    return grant.get();
                }
            }
        }
        throw new AssertionError("not granted within " + LIMIT_MS + " ms");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nextOwnerReceivesExpiryTimeOfPreviousLease(boolean leaderChanges) {
        leader.leadershipGained(1);
        advanceUntilGranted("a", "b");
        long renewedMs = nowMs;
        if (leaderChanges) {
            nowMs += 750;
            leader.leadershipLost();
            leader.leadershipGained(2);
            renewedMs = nowMs;
        }
        TargetGrant grant = advanceUntilGranted("b");
        long leaseEndMs = Leases.entryLeaseEndMs(renewedMs);
        assertThat("not before the lease has expired", nowMs, greaterThanOrEqualTo(leaseEndMs));
        assertThat(nowMs - grant.previousOverMs(), is(leaseEndMs));
    }

    /**
     * The target moves from a, which drains and is then partitioned, to b, which lapses immediately, and on to c. It must
     * not be granted to c before a's lease has expired, although a was no longer the direct predecessor.
     */
    @Test
    void targetMovedTwiceWaitsForLeaseOfFirstOwner() {
        leader.leadershipGained(1);
        advanceUntilGranted("a");
        long lastHeartbeatMs = nowMs + 4 * Leases.ENTRY_LEASE_MS;
        lastHeartbeatMs -= lastHeartbeatMs % LOOP_MS;
        advanceTo(lastHeartbeatMs - Leases.ENTRY_LEASE_MS, "a");
        sendHeartbeat("b");
        advanceTo(lastHeartbeatMs, "a");
        sendHeartbeat("a", true);
        leader.tick();
        nowMs += TICK_MS;
        sendHeartbeat("c");
        advanceUntilGranted("c");
        assertThat(nowMs, greaterThanOrEqualTo(Leases.entryLeaseEndMs(lastHeartbeatMs)));
    }

    private void advanceTo(long untilMs, String entry) {
        for (; nowMs < untilMs; nowMs += TICK_MS) {
            leader.tick();
            if (nowMs % Leases.ENTRY_HEARTBEAT_MS == 0) {
                sendHeartbeat(entry);
            }
        }
    }
}
