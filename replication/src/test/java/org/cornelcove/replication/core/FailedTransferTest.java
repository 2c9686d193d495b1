package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Transfers of leadership whose message is late, so that they have failed by the time it arrives. */
class FailedTransferTest {
    private static final int SEEDS = 100;
    private static final long TRANSFER_MS = 2000;
    private static final long RECOVERED_MS = 5000;

    /** Each seed with the chosen member in touch, and without contact since the transfer. */
    static Stream<Arguments> plays() {
        return LongStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> Stream.of(Arguments.of(seed, true), Arguments.of(seed, false)));
    }

    /** Guards against a leader without a lease for the rest of its term, under which no worker is polled or used. */
    @ParameterizedTest(name = "seed {0}, member in touch: {1}")
    @MethodSource("plays")
    void aLeaderHoldsALeaseAgainAfterATransferThatFailed(long seed, boolean inTouch) {
        SimulatedGroup group = SimulatedGroup.of(3, seed, Mutant.NONE);
        List<Outgoing> late = withholdTransfer(group);
        failTransfer(group, late, inTouch);
        group.propose("after");
        group.runUntil(RECOVERED_MS + 200);
        assertThat(group.members.values().stream().anyMatch(SimulatedMember::leased), is(true));
        assertThat(group.history().acknowledgedCount(), is(1));
        assertThat(group.history().violations(), is(Map.of()));
    }

    /** Guards against a lease beside which the late message of an earlier transfer elects another leader. */
    @ParameterizedTest(name = "seed {0}, member in touch: {1}")
    @MethodSource("plays")
    void aLateTransferTakesNoLeadershipFromALeaderWithALease(long seed, boolean inTouch) {
        SimulatedGroup group = SimulatedGroup.of(3, seed, Mutant.NONE);
        List<Outgoing> late = withholdTransfer(group);
        failTransfer(group, late, inTouch);
        SimulatedMember leader = group.members.values().stream()
                .filter(SimulatedMember::leased)
                .findFirst()
                .orElseThrow();
        long term = leader.core.term();
        SimulatedMember chosen = group.members.get(late.get(0).envelope().to());
        group.network.cutTo.clear();
        group.network.cutFrom.clear();
        chosen.receive(late.get(0).envelope());
        group.observer = (step, member) -> assertThat(step == Step.ELECTED && leader.leased(), is(false));
        group.runUntil(RECOVERED_MS + 300);
        assertThat(leader.leased(), is(true));
        assertThat(leader.core.term(), is(term));
        assertThat(group.history().violations(), is(Map.of()));
    }

    private static List<Outgoing> withholdTransfer(SimulatedGroup group) {
        List<Outgoing> late = new ArrayList<>();
        group.dropFilter = message -> {
            boolean transfer = message.envelope().body() instanceof Message.TransferLeadership;
            if (transfer) {
                late.add(message);
            }
            return transfer;
        };
        return late;
    }

    private static void failTransfer(SimulatedGroup group, List<Outgoing> late, boolean inTouch) {
        group.runUntil(TRANSFER_MS);
        SimulatedMember leader = group.members.values().stream()
                .filter(SimulatedMember::leads)
                .findFirst()
                .orElseThrow();
        leader.transfer(0);
        group.runUntil(TRANSFER_MS + 5);
        assertThat(late, hasSize(1));
        assertThat(late.get(0).envelope().to(), is(not(leader.id)));
        if (!inTouch) {
            long chosen = late.get(0).envelope().to();
            // It stays a follower in the term of the transfer.
            group.members.get(chosen).passive = true;
            group.network.cutTo.add(chosen);
            group.network.cutFrom.add(chosen);
        }
        group.runUntil(RECOVERED_MS);
    }
}
