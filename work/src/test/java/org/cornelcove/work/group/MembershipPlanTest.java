package org.cornelcove.work.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.cornelcove.replication.Member;
import org.cornelcove.replication.MemberProgress;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.work.group.MembershipPlan.Kind;
import org.cornelcove.work.group.MembershipPlan.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class MembershipPlanTest {
    private static final int SIZE = 5;

    private static ReplicaStatus group(int members, long... silentIds) {
        List<Member> all = new ArrayList<>();
        List<MemberProgress> progress = new ArrayList<>();
        for (long id = 1; id <= members; id++) {
            all.add(new Member(id, "10.0.0." + id + ":1", true));
            long unansweredMs = 50;
            for (long silent : silentIds) {
                unansweredMs = silent == id ? MembershipPlan.SILENT_MS + id : unansweredMs;
            }
            if (id > 1) {
                progress.add(new MemberProgress(id, unansweredMs > 1000, unansweredMs, 0));
            }
        }
        return new ReplicaStatus(1, Optional.of(1L), true, 1, 1, 1, 0, all, progress);
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("a member repeats its request", group(5), 3L, "10.0.0.3:1", new Step(Kind.MEMBER, 3)),
                Arguments.of("a group that is too small", group(3), 99L, "10.0.0.9:1", new Step(Kind.ADD, 99)),
                Arguments.of(
                        "a host that lost its disk replaces its old member",
                        group(5),
                        99L,
                        "10.0.0.3:1",
                        new Step(Kind.REMOVE, 3)),
                Arguments.of(
                        "a spare host and a complete group", group(5), 99L, "10.0.0.9:1", new Step(Kind.STAND_BY, 99)),
                Arguments.of(
                        "a spare host replaces an unresponsive member",
                        group(5, 4),
                        99L,
                        "10.0.0.9:1",
                        new Step(Kind.REMOVE, 4)),
                Arguments.of(
                        "the longest unresponsive member is removed first",
                        group(5, 2, 4),
                        99L,
                        "10.0.0.9:1",
                        new Step(Kind.REMOVE, 4)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void decides(String what, ReplicaStatus group, long id, String address, Step expected) {
        assertThat(MembershipPlan.decide(group, SIZE, id, address), is(expected));
    }
}
