package org.cornelcove.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.model.error.ErrorKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Checks the answer to the caller and the runs at targets for each way in which a target fails. */
class TargetFailureTest {
    private static final Behaviour LARGE = (request, out, target) -> {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n").getBytes());
        out.write(new byte[2_000_000]);
    };

    /** The first target fails as given, where null means a closed port; the second one, if present, answers. */
    record Case(String name, Behaviour failing, boolean second, int status, String run, ErrorKind error, int runs) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Case> CASES = List.of(
            new Case("refused", null, false, 503, "not-run", ErrorKind.NOT_RUN, 0),
            new Case("refused, another there", null, true, 200, "done", null, 1),
            new Case("turned away", Behaviour.REFUSE, false, 503, "not-run", ErrorKind.NOT_RUN, 0),
            new Case("turned away, another there", Behaviour.REFUSE, true, 200, "done", null, 1),
            new Case(
                    "dead after accept",
                    Behaviour.DIE_AFTER_ACCEPT,
                    true,
                    502,
                    "unknown",
                    ErrorKind.OUTCOME_UNKNOWN,
                    1),
            new Case("cut in the head", Behaviour.CUT_HEAD, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("cut in the body", Behaviour.CUT_LENGTH, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("cut in a chunk", Behaviour.CUT_CHUNKED, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("no length", Behaviour.CLOSE_DELIMITED, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("garbage", Behaviour.GARBAGE, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("too large", LARGE, true, 502, "unknown", ErrorKind.OUTCOME_UNKNOWN, 1),
            new Case("too slow", Behaviour.HOLD, true, 504, "unknown", ErrorKind.DEADLINE_PASSED, 1));

    static Stream<Object[]> cases() {
        return CASES.stream()
                .flatMap(one -> Stream.of("safe", "exclusive", "once").map(c -> new Object[] {one, c}));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void reportsTheRunState(Case one, String requestClass) throws Exception {
        FakeTarget first = FakeTarget.start("t1", one.failing == null ? Behaviour.ECHO : one.failing);
        List<FakeTarget> all = new ArrayList<>(List.of(first));
        if (one.second) {
            all.add(FakeTarget.start("t2", Behaviour.ECHO));
        }
        try (Rig rig = new Rig().with(all.toArray(FakeTarget[]::new))) {
            if (one.failing == null) {
                first.close();
            }
            rig.control.service = FakeControl.rule(one.failing == Behaviour.HOLD ? 300 : 5_000, 1 << 20, 100);
            rig.open();
            HttpResponse<String> answer = rig.send(rig.post("r1", requestClass, "k1", "body"));
            assertThat(answer.body(), answer.statusCode(), is(one.status));
            assertThat(Rig.run(answer), is(one.run));
            assertThat(Rig.error(answer), is(one.error == null ? 0 : one.error.number()));
            assertThat(runs(rig), is(one.runs));
            first.releaseHeld();
            first.behave(Behaviour.ECHO);
            HttpResponse<String> other = rig.send(rig.post("r2", "safe", "k2", "next"));
            boolean reachable = one.failing != null || one.second;
            assertThat(
                    other.body(),
                    reachable ? other.body().equals("r2|next") : Rig.run(other).equals("not-run"));
            if (requestClass.equals("once")) {
                repeatOnce(rig, one, answer);
            }
        }
    }

    private static void repeatOnce(Rig rig, Case one, HttpResponse<String> first) throws Exception {
        HttpResponse<String> again = rig.send(rig.post("r3", "once", "k1", "body"));
        long runs = rig.targets.stream()
                .flatMap(target -> target.log.stream())
                .filter(seen -> seen.key().equals("k1") && !seen.refused)
                .count();
        assertThat(runs, lessThanOrEqualTo(1L));
        if (one.run.equals("unknown")) {
            assertThat(Rig.run(again), is("unknown"));
            assertThat(runs, is(1L));
        } else if (one.run.equals("done")) {
            assertThat(again.body(), is(first.body()));
        }
    }

    private static int runs(Rig rig) {
        return (int) rig.targets.stream()
                .flatMap(target -> target.log.stream())
                .filter(seen -> !seen.refused)
                .count();
    }
}
