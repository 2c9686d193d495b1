package org.cornelcove.testkit.fault;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.testkit.AttemptEvent;
import org.cornelcove.testkit.History;
import org.cornelcove.testkit.TargetEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Each check finds a violation in a history that breaks its guarantee and none in a history that breaks no guarantee.
 */
class GuaranteeTest {
    private static final Resources CORE = Resources.of(1_000, 1, 0);

    /** A history, the guarantee that it breaks, and the name of the case. */
    record BrokenHistory(Guarantee guarantee, String name, List<Object> events) {
        @Override
        public String toString() {
            return guarantee + " " + name;
        }
    }

    static List<BrokenHistory> bad() {
        return List.of(
                bad(Guarantee.OWN_WHOLE_ANSWER, "another's answer", answer("safe", "k", 1, 9, "done", "other")),
                bad(Guarantee.OWN_WHOLE_ANSWER, "half an answer", answer("safe", "k", 1, 9, "done", "bod")),
                bad(
                        Guarantee.NOT_RUN_IS_TRUE,
                        "it ran",
                        ran("started", "k", 2),
                        answer("safe", "k", 1, 9, "not-run", "")),
                bad(
                        Guarantee.KEY_THAT_RAN_IS_NOT_TOLD_NOT_RUN,
                        "its key ran before",
                        event("t1", "r0", "k", "started", 0),
                        answer("once", "k", 1, 9, "not-run", "")),
                bad(
                        Guarantee.ONCE_AT_MOST_ONCE,
                        "ran twice",
                        ran("started", "k", 2),
                        ran("ended", "k", 3),
                        event("t2", "r2", "k", "started", 5),
                        answer("once", "k", 1, 9, "done", "body")),
                bad(
                        Guarantee.EXCLUSIVE_NEVER_OVERLAPS,
                        "two at once",
                        ran("started", "k", 2),
                        event("t2", "r2", "k", "started", 3),
                        ran("ended", "k", 4),
                        answer("exclusive", "k", 1, 9, "done", "body"),
                        answer("r2", "exclusive", "k", 1, 9, "done", "body")),
                bad(
                        Guarantee.LEAVING_TARGET_GETS_NOTHING,
                        "late work",
                        event("t1", "", "", "leaving", 1_000),
                        ran("started", "k", 4_001)),
                bad(
                        Guarantee.SILENT_TARGET_GETS_NOTHING_NEW,
                        "late work",
                        event("t1", "", "", "silent", 1_000),
                        answer("safe", "k", 4_001, 9_000, "unknown", ""),
                        event("t1", "", "", "heard", 8_000),
                        ran("started", "k", 8_001)),
                bad(Guarantee.FAILED_DISK_STOPS_MEMBER, "went on", new Seen.DiskFailed("e1", "FULL", -1, "error(405)")),
                bad(Guarantee.FAILED_DISK_STOPS_MEMBER, "no remedy", new Seen.DiskFailed("e1", "FULL", 1, "bad disk")),
                bad(Guarantee.PLANNED_STOP_CUTS_OFF_NOTHING, "exit code", new Seen.Stop("e1", 0, 5, 1)),
                bad(
                        Guarantee.PLANNED_STOP_CUTS_OFF_NOTHING,
                        "lost answer",
                        new Seen.Stop("e1", 5, 15, 0),
                        answer("safe", "k", 1, 9, Seen.LOST, "")),
                bad(
                        Guarantee.PLANNED_STOP_CUTS_OFF_NOTHING,
                        "unknown elsewhere",
                        new Seen.Stop("e2", 5, 15, 0),
                        answer("safe", "k", 1, 9, "unknown", "")),
                bad(
                        Guarantee.JOB_IN_ONE_PLACE,
                        "two hosts",
                        attempt("h1", 1, "started", "0", 10),
                        attempt("h1", 1, "running", "9", 20),
                        attempt("h2", 2, "started", "0", 15)),
                bad(
                        Guarantee.JOB_FINISHED_ONCE,
                        "two attempts",
                        new Seen.Submitted("j"),
                        attempt("h1", 1, "finished", "9", 10),
                        attempt("h2", 2, "finished", "9", 15),
                        job(JobState.FINISHED, 2, 20)),
                bad(
                        Guarantee.JOB_FINISHED_ONCE,
                        "no longer final",
                        job(JobState.FINISHED, 1, 20),
                        job(JobState.PLACED, 2, 21)),
                bad(Guarantee.JOB_FINISHED_ONCE, "never", new Seen.Submitted("j"), job(JobState.PENDING, 0, 20)),
                bad(
                        Guarantee.EVICTED_RESUMES_ONCE,
                        "from elsewhere",
                        attempt("h1", 1, "evicted", "7", 10),
                        attempt("h1", 1, "forgotten", "7", 12),
                        attempt("h2", 2, "started", "0", 15)),
                bad(
                        Guarantee.EVICTED_RESUMES_ONCE,
                        "twice",
                        attempt("h1", 2, "started", "7", 10),
                        attempt("h2", 2, "started", "7", 99)),
                bad(
                        Guarantee.HOST_NEVER_OVERFILLED,
                        "two cores of one",
                        attempt("h1", 1, "started", "0", 10),
                        attempt("h1", 1, "running", "0", 30),
                        new AttemptEvent("h1", "j2", 1, "started", "0", CORE, CORE, 20),
                        new AttemptEvent("h1", "j2", 1, "running", "0", CORE, CORE, 25)),
                bad(
                        Guarantee.CONFIGURATION_NEVER_REVERTS,
                        "older later",
                        new Seen.Shown("a1", 2, "d2", 1, 2),
                        new Seen.Shown("a2", 1, "d1", 3, 4)),
                bad(
                        Guarantee.CONFIGURATION_NEVER_REVERTS,
                        "two contents",
                        new Seen.Shown("a1", 2, "d2", 1, 2),
                        new Seen.Shown("a2", 2, "d1", 3, 4)),
                bad(
                        Guarantee.CONFIGURATION_IN_FORCE,
                        "older known",
                        new Seen.InForce(2, 2, 5),
                        new Seen.Probe("e1", 1, true, 6, 7)),
                bad(
                        Guarantee.CONFIGURATION_IN_FORCE,
                        "newest unknown",
                        new Seen.InForce(2, 2, 5),
                        new Seen.Probe("e1", 2, false, 6, 7)),
                bad(
                        Guarantee.ONE_WINNER_OF_A_RACE,
                        "two contents",
                        new Seen.Proposal(1, "d1", 4, 0, ""),
                        new Seen.Proposal(1, "d2", 5, 0, "")),
                bad(
                        Guarantee.ONE_WINNER_OF_A_RACE,
                        "another outcome for a resend",
                        new Seen.Proposal(1, "d1", 4, 0, ""),
                        new Seen.Proposal(1, "d1", 5, 0, "")),
                bad(
                        Guarantee.ONE_WINNER_OF_A_RACE,
                        "digest not told",
                        new Seen.Proposal(1, "d1", 4, 0, ""),
                        new Seen.Proposal(1, "d2", 0, ErrorKind.CONFIGURATION_CONFLICT.number(), "taken")));
    }

    private static BrokenHistory bad(Guarantee guarantee, String name, Object... events) {
        return new BrokenHistory(guarantee, name, List.of(events));
    }

    private static Seen.Answer answer(
            String requestClass, String key, long sentMs, long answeredMs, String run, String body) {
        return answer("r1", requestClass, key, sentMs, answeredMs, run, body);
    }

    private static Seen.Answer answer(
            String id, String requestClass, String key, long sentMs, long answeredMs, String run, String body) {
        Seen.Sent sent = new Seen.Sent(id, requestClass, key, "body", "e1", sentMs);
        return new Seen.Answer(sent, answeredMs, 200, run, 0, "t1 " + body);
    }

    private static TargetEvent ran(String what, String key, long atMs) {
        return event("t1", "r1", key, what, atMs);
    }

    private static TargetEvent event(String target, String requestId, String key, String what, long atMs) {
        return new TargetEvent(target, requestId, key, what, atMs * 1_000);
    }

    private static AttemptEvent attempt(String host, int number, String what, String checkpoint, long atMs) {
        return new AttemptEvent(host, "j", number, what, checkpoint, CORE, CORE, atMs);
    }

    private static Seen.Job job(JobState state, int attempt, long atMs) {
        JobSpec spec = new JobSpec(JobId.of("j"), "team", JobKind.BATCH, "task", CORE, 1, false, "");
        return new Seen.Job(
                new JobView(spec, state, attempt, Optional.of(HostId.of("h1")), Optional.empty(), ""), atMs);
    }

    private static History history(List<Object> events) {
        History history = History.inMemory();
        events.forEach(history::write);
        return history;
    }

    @ParameterizedTest
    @MethodSource("bad")
    void checkerIsRed(BrokenHistory bad) {
        assertThat(bad.guarantee().violations(history(bad.events())), is(not(empty())));
    }

    @Test
    void everyCheckerIsShownRed() {
        Set<Guarantee> shown = bad().stream().map(BrokenHistory::guarantee).collect(Collectors.toSet());
        assertThat(EnumSet.complementOf(EnumSet.copyOf(shown)), hasSize(0));
    }

    @ParameterizedTest
    @EnumSource(Guarantee.class)
    void checkerIsGreen(Guarantee guarantee) {
        List<Object> good = List.of(
                ran("started", "k", 2),
                ran("ended", "k", 3),
                answer("once", "k", 1, 9, "done", "body"),
                answer("r2", "once", "k", 10, 11, "done", "body"),
                event("t2", "r3", "x", "started", 3),
                event("t2", "r3", "x", "killed", 4),
                answer("r3", "exclusive", "x", 1, 9, "unknown", ""),
                answer("r4", "exclusive", "x", 1, 9, "not-run", ""),
                event("t1", "", "", "leaving", 1_000),
                event("t1", "r5", "y", "started", 2_000),
                event("t3", "", "", "silent", 3_000),
                answer("r6", "safe", "z", 5_900, 9_000, "unknown", ""),
                answer("r7", "safe", "z", 8_100, 9_000, "done", "body"),
                event("t3", "", "", "heard", 8_000),
                event("t3", "r6", "z", "started", 8_001),
                event("t3", "r7", "z", "started", 8_200),
                new Seen.DiskFailed("e1", "FULL", 1, "error(405): can't write; mend the disk, then rejoin"),
                new Seen.Stop("e1", 20, 25, 0),
                new Seen.Submitted("j"),
                attempt("h1", 1, "started", "0", 10),
                attempt("h1", 1, "evicted", "7", 20),
                attempt("h1", 1, "forgotten", "7", 22),
                attempt("h1", 2, "started", "7", 30),
                attempt("h1", 2, "finished", "9", 40),
                job(JobState.PLACED, 1, 15),
                job(JobState.FINISHED, 2, 50),
                new Seen.Proposal(1, "d1", 1, 0, ""),
                new Seen.Proposal(1, "d1", 1, 0, ""),
                new Seen.Proposal(1, "d2", 0, ErrorKind.CONFIGURATION_CONFLICT.number(), "taken by d1"),
                new Seen.Shown("a1", 1, "d1", 1, 2),
                new Seen.Shown("a2", 1, "d1", 3, 4),
                new Seen.InForce(1, 1, 5),
                new Seen.Probe("e1", 1, true, 6, 7));
        assertThat(guarantee.violations(history(good)), is(empty()));
    }
}
