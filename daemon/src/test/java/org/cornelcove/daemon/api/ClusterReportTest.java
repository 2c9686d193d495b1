package org.cornelcove.daemon.api;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.control.view.TargetStatus;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.TargetState;
import org.cornelcove.model.view.TargetView;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.MemberProgress;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.CallServer;
import org.cornelcove.wire.LeaderRouter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ClusterReportTest {
    private static final long LEADER = 1;
    private static final long OTHER = 2;

    @ParameterizedTest
    @CsvSource({
        "true, false, FOLLOWER",
        "true, true, SILENT",
        "false, false, LEARNER",
        "false, true, SILENT",
    })
    void theLeaderReportsTheStateOfAMember(boolean voting, boolean silent, MemberState state) {
        ReplicaStatus group = group(LEADER, voting, List.of(new MemberProgress(OTHER, silent, 4_200, 17)));
        assertThat(
                ClusterReport.members(group),
                is(List.of(
                        new MemberView(LEADER, "h:1", true, MemberState.LEADER, Optional.empty(), Optional.empty()),
                        new MemberView(OTHER, "h:2", voting, state, Optional.of(4_200L), Optional.of(17L)))));
    }

    @Test
    void withoutALeaderOnlyTheAnsweringMemberHasAKnownState() {
        ReplicaStatus group = new ReplicaStatus(OTHER, Optional.empty(), false, 3, 9, 9, 0, members(true), null);
        List<MemberState> states =
                ClusterReport.members(group).stream().map(MemberView::state).toList();
        assertThat(states, is(List.of(MemberState.UNKNOWN, MemberState.FOLLOWER)));
    }

    @ParameterizedTest
    @CsvSource({
        "0, false, LIVE",
        "0, true, LEAVING",
        "-1, false, SILENT",
        "1, false, SILENT",
        "1, true, SILENT",
    })
    void aTargetHasItsZoneAndState(long pastSilenceMs, boolean leaving, TargetState state) {
        long silentMs = pastSilenceMs < 0 ? -1 : Leases.TARGET_SILENCE_MS + pastSilenceMs;
        TargetStatus target =
                new TargetStatus(TargetId.of("t"), "booking", "surat", leaving, Optional.empty(), 4, silentMs);
        ControlStatus control =
                new ControlStatus(9, 1, List.of(), List.of(), List.of(target), new JobCounts(0, 0, 0, 0, 0), 0);
        List<TargetView> shown =
                ClusterReport.compose(control, group(LEADER, true, List.of())).targets();
        assertThat(shown, is(List.of(new TargetView(TargetId.of("t"), "booking", "surat", Optional.empty(), state))));
    }

    @Test
    void anOlderControlHostStillReturnsAStatus() {
        ReplicaStatus older = new ReplicaStatus(LEADER, Optional.of(LEADER), true, 3, 9, 9, 0, members(true), null);
        ControlStatus control =
                new ControlStatus(9, 1, List.of(), List.of(), List.of(), new JobCounts(0, 0, 0, 0, 0), 0);
        CallHandlers handlers = CallHandlers.create()
                .answer(Calls.STATUS, any -> CompletableFuture.completedFuture(control))
                .answer(Calls.GROUP, any -> CompletableFuture.completedFuture(older));
        try (CallServer server = CallServer.open(new InetSocketAddress("127.0.0.1", 0), handlers);
                CallClient client = CallClient.create()) {
            String address = "127.0.0.1:" + server.address().getPort();
            ClusterStatus status = ClusterReport.read(LeaderRouter.create(client, () -> List.of(address)))
                    .join();
            assertThat(status.leader(), is(Optional.of(LEADER)));
            assertThat(status.members().get(1).state(), is(MemberState.UNKNOWN));
        }
    }

    private static ReplicaStatus group(long self, boolean otherIsVoting, List<MemberProgress> progress) {
        return new ReplicaStatus(self, Optional.of(self), true, 3, 9, 9, 0, members(otherIsVoting), progress);
    }

    private static List<Member> members(boolean otherIsVoting) {
        return List.of(new Member(LEADER, "h:1", true), new Member(OTHER, "h:2", otherIsVoting));
    }
}
