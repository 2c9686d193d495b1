package org.cornelcove.control.leader;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** When a version of the configuration is said to be in force. Commands are committed immediately. */
class InForceTest {
    private static final EntryId ENTRY = EntryId.of("e");

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

    private void sendHeartbeat(long incarnation, long version) {
        leader.heartbeat(new EntryHeartbeat(
                        ENTRY, incarnation, "z", "127.0.0.1:2", "127.0.0.1:3", version, false, List.of(), ++number, 0))
                .join();
    }

    private List<EntryId> waitingFor(long version) {
        return leader.inForce(version).join().waitingFor();
    }

    /**
     * Regression test: a version was said to be in force while an earlier incarnation of an entry, frozen or cut off, still
     * held a lease under which it serves by the version before.
     */
    @Test
    void aVersionIsNotInForceWhileAnEarlierIncarnationOfAnEntryMayServeByAnOlderOne() {
        leader.leadershipGained(1);
        nowMs += Leases.entryLeaseEndMs(0);
        sendHeartbeat(1, 0);
        long earlierLeaseEndMs = Leases.entryLeaseEndMs(nowMs);
        leader.execute(new ProposeConfiguration(1, "o", "d", RuleSet.empty())).join();
        long version = leader.configuration().join().version();
        nowMs += Leases.ENTRY_HEARTBEAT_MS;
        sendHeartbeat(2, 0);
        sendHeartbeat(2, version);
        assertThat(waitingFor(version), contains(ENTRY));
        nowMs = earlierLeaseEndMs - 1;
        sendHeartbeat(2, version);
        assertThat(waitingFor(version), contains(ENTRY));
        nowMs = earlierLeaseEndMs;
        assertThat(waitingFor(version), is(empty()));
    }

    /** The earlier incarnation may have been granted a lease by the leader before. */
    @Test
    void aVersionIsNotInForceWhileAnEarlierIncarnationMayHoldALeaseOfTheLeaderBefore() {
        leader.leadershipGained(1);
        sendHeartbeat(1, 0);
        leader.execute(new ProposeConfiguration(1, "o", "d", RuleSet.empty())).join();
        long version = leader.configuration().join().version();
        leader.leadershipLost();
        leader.leadershipGained(2);
        long earlierLeaseEndMs = Leases.entryLeaseEndMs(nowMs);
        sendHeartbeat(2, version);
        assertThat(waitingFor(version), contains(ENTRY));
        nowMs = earlierLeaseEndMs - 1;
        sendHeartbeat(2, version);
        assertThat(waitingFor(version), contains(ENTRY));
        nowMs = earlierLeaseEndMs;
        assertThat(waitingFor(version), is(empty()));
    }

    @Test
    void aVersionIsInForceOnceTheOnlyIncarnationOfAnEntryHasIt() {
        leader.leadershipGained(1);
        leader.execute(new ProposeConfiguration(1, "o", "d", RuleSet.empty())).join();
        long version = leader.configuration().join().version();
        sendHeartbeat(1, 0);
        assertThat(waitingFor(version), contains(ENTRY));
        sendHeartbeat(1, version);
        assertThat(waitingFor(version), is(empty()));
    }
}
