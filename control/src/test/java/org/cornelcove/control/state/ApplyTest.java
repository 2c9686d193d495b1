package org.cornelcove.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.AssignRange;
import org.cornelcove.model.command.AssignTarget;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.ExpireClaims;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.command.RemoveWorker;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.cornelcove.control.state.Commands.attempt;
import static org.cornelcove.control.state.Commands.claim;
import static org.cornelcove.control.state.Commands.end;
import static org.cornelcove.control.state.Commands.entry;
import static org.cornelcove.control.state.Commands.place;
import static org.cornelcove.control.state.Commands.propose;
import static org.cornelcove.control.state.Commands.record;
import static org.cornelcove.control.state.Commands.release;
import static org.cornelcove.control.state.Commands.spec;
import static org.cornelcove.control.state.Commands.submit;
import static org.cornelcove.control.state.Commands.worker;
import static org.cornelcove.model.job.AttemptEnd.EVICTED;
import static org.cornelcove.model.job.AttemptEnd.FAILED;
import static org.cornelcove.model.job.AttemptEnd.FINISHED;
import static org.cornelcove.model.job.AttemptEnd.LOST;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/** The outcome of each command. Log indexes start at 1 in each case. */
class ApplyTest {
    private static final Command CANCEL = new CancelJob(JobId.of("j"));
    private static final Command UNASSIGN = new AssignTarget(TargetId.of("t"), Optional.empty());

    /** A sequence of commands, each with its expected outcome. */
    private static final class Case {
        private final String name;
        private final List<Command> commands = new ArrayList<>();
        private final List<String> outcomes = new ArrayList<>();
        private Limits limits = Limits.STANDARD;

        private Case(String name) {
            this.name = name;
        }

        private Case expect(Command command, String outcome) {
            commands.add(command);
            outcomes.add(outcome);
            return this;
        }

        private Case limits(Limits newLimits) {
            limits = newLimits;
            return this;
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static Case of(String name) {
        return new Case(name);
    }

    /** Starts with job j, which needs 600, placed on host h with capacity 1000. */
    private static Case placed(String name) {
        return of(name).expect(worker("h", 1, 1_000), "done 1")
                .expect(submit("j", 600), "done 2")
                .expect(place("j", 1, "h"), "done 3");
    }

    /** Starts with entry e and its claim on key k at index 2. */
    private static Case claimed(String name) {
        return of(name).expect(entry("e", 1), "done 1").expect(claim("k", "d", "e", 1), "granted 2");
    }

    private static Command assign(String entry) {
        return new AssignTarget(TargetId.of("t"), Optional.of(EntryId.of(entry)));
    }

    static Stream<Case> jobs() {
        return Stream.of(
                of("a resent submission gets the first outcome; another specification is a conflict")
                        .expect(submit("j", 1), "done 1")
                        .expect(submit("j", 1), "done 1")
                        .expect(submit("j", 2), "JOB_CONFLICT"),
                of("a submission that no worker could hold is refused once there are workers")
                        .expect(submit("i", 2_000), "done 1")
                        .expect(worker("h", 1, 1_000), "done 2")
                        .expect(submit("j", 2_000), "JOB_NEVER_FITS"),
                of("a malformed submission is refused")
                        .expect(submit("j", -1), "JOB_INVALID")
                        .expect(new SubmitJob(spec("j", "no name", JobKind.BATCH, 1)), "JOB_INVALID")
                        .expect(new SubmitJob(spec("j", null, JobKind.BATCH, 1)), "COMMAND_INVALID"),
                placed("a host is not overcommitted")
                        .expect(submit("i", 600), "done 4")
                        .expect(place("i", 1, "h"), "HOST_FULL")
                        .expect(end("j", 1, FINISHED, ""), "done 6")
                        .expect(place("i", 1, "h"), "done 7"),
                placed("attempts are numbered without gaps and placed once")
                        .expect(place("j", 1, "h"), "done 4")
                        .expect(place("j", 2, "h"), "ATTEMPT_STALE")
                        .expect(end("j", 1, LOST, ""), "done 6")
                        .expect(place("j", 1, "h"), "ATTEMPT_STALE")
                        .expect(place("j", 3, "h"), "ATTEMPT_STALE")
                        .expect(place("j", 2, "nowhere"), "HOST_UNKNOWN")
                        .expect(place("j", 2, "h"), "done 10"),
                placed("reports of an older attempt change nothing")
                        .expect(end("j", 1, EVICTED, "c1"), "done 4")
                        .expect(end("j", 1, EVICTED, "c1"), "ATTEMPT_STALE")
                        .expect(place("j", 2, "h"), "done 6")
                        .expect(end("j", 1, FINISHED, ""), "ATTEMPT_STALE")
                        .expect(new RecordCheckpoint(attempt("j", 1), "c0"), "ATTEMPT_STALE")
                        .expect(new RecordCheckpoint(attempt("j", 2), "c2"), "done 9")
                        .expect(end("j", 2, FINISHED, ""), "done 10")
                        .expect(end("j", 2, FINISHED, ""), "ATTEMPT_STALE"),
                placed("completion decided first: a later cancellation is refused")
                        .expect(end("j", 1, FINISHED, ""), "done 4")
                        .expect(CANCEL, "JOB_ALREADY_ENDED"),
                placed("cancellation decided first: the host is freed by the end of the attempt only")
                        .expect(CANCEL, "done 4")
                        .expect(CANCEL, "done 4")
                        .expect(submit("i", 600), "done 6")
                        .expect(place("i", 1, "h"), "HOST_FULL")
                        .expect(new RemoveWorker(HostId.of("h")), "WORKER_BUSY")
                        .expect(end("j", 1, FINISHED, ""), "done 9")
                        .expect(CANCEL, "done 4")
                        .expect(place("i", 1, "h"), "done 11"),
                placed("a job that failed the maximum number of times is not placed again")
                        .expect(propose(1, "d", 0), "done 1")
                        .expect(end("j", 1, FAILED, ""), "done 5")
                        .expect(place("j", 2, "h"), "done 6")
                        .expect(end("j", 2, FAILED, ""), "done 7")
                        .expect(place("j", 3, "h"), "JOB_ALREADY_ENDED"),
                placed("only a job that no worker could hold is rejected")
                        .expect(end("j", 1, LOST, ""), "done 4")
                        .expect(new RejectJob(JobId.of("j"), "r"), "JOB_RUNNABLE")
                        .expect(worker("h", 2, 500), "done 6")
                        .expect(new RejectJob(JobId.of("j"), "r"), "done 7")
                        .expect(new RejectJob(JobId.of("j"), "r"), "JOB_ALREADY_ENDED")
                        .expect(new RejectJob(JobId.of("x"), "r"), "JOB_UNKNOWN"),
                of("placements are limited by the quota of the team, which must exist once there are teams")
                        .expect(worker("h", 1, 1_000), "done 1")
                        .expect(propose(1, "d", 700), "done 1")
                        .expect(new SubmitJob(spec("i", "blue", JobKind.BATCH, 1)), "TEAM_UNKNOWN")
                        .expect(submit("j", 600), "done 4")
                        .expect(submit("l", 200), "done 5")
                        .expect(place("j", 1, "h"), "done 6")
                        .expect(place("l", 1, "h"), "QUOTA_EXCEEDED")
                        .expect(propose(2, "e", 800), "done 2")
                        .expect(place("l", 1, "h"), "done 9"),
                of("ended jobs are kept up to a limit")
                        .limits(new Limits(1, 9, 9_999, 9))
                        .expect(submit("j", 1), "done 1")
                        .expect(submit("i", 1), "done 2")
                        .expect(CANCEL, "done 3")
                        .expect(new CancelJob(JobId.of("i")), "done 4")
                        .expect(CANCEL, "JOB_UNKNOWN"),
                of("a worker with an older incarnation is refused, an unknown worker cannot be removed")
                        .expect(worker("h", 2, 1), "done 1")
                        .expect(worker("h", 1, 1), "WORKER_FENCED")
                        .expect(new RemoveWorker(HostId.of("i")), "HOST_UNKNOWN")
                        .expect(new RemoveWorker(HostId.of("h")), "done 4"));
    }

    static Stream<Case> entries() {
        return Stream.of(
                claimed("a key is granted to one claim; a repetition with its number gets the same answer")
                        .expect(claim("k", "d", "e", 1), "granted 3")
                        .expect(claim("k", "other", "e", 1), "KEY_REUSED")
                        .expect(claim("k", "d", "e", 1, 2), "in progress e")
                        .expect(claim("k", "other", "e", 1), "KEY_REUSED"),
                claimed("a recorded answer is replayed and not replaced")
                        .expect(record("k", "e", 1, 201), "done 3")
                        .expect(record("k", "e", 1, 500), "done 3")
                        .expect(claim("k", "d", "e", 1), "replayed 201"),
                claimed("a key with an unknown outcome is not granted again, but its answer can still be recorded")
                        .expect(record("k", "e", 1, 0), "unknown 3")
                        .expect(claim("k", "d", "e", 1), "unknown 3")
                        .expect(release("k", "e", 1, 1), "CLAIM_NOT_HELD")
                        .expect(record("k", "e", 1, 200), "done 6")
                        .expect(claim("k", "d", "e", 1), "replayed 200"),
                claimed("a delayed release does not free a later grant")
                        .expect(release("k", "e", 1, 1), "done 3")
                        .expect(claim("k", "d", "e", 1, 2), "granted 4")
                        .expect(release("k", "e", 1, 1), "CLAIM_NOT_HELD")
                        .expect(claim("k", "d", "e", 1, 3), "in progress e"),
                claimed("a claim that arrives after its own release is refused, a different one is granted")
                        .expect(release("l", "e", 1, 5), "done 3")
                        .expect(release("l", "e", 1, 5), "done 3")
                        .expect(claim("l", "d", "e", 1, 5), "CLAIM_NOT_HELD")
                        .expect(record("l", "e", 1, 200), "CLAIM_NOT_HELD")
                        .expect(claim("l", "d", "e", 1, 6), "granted 7"),
                claimed("a newer incarnation fences the older one, whose open claims become unknown")
                        .expect(entry("e", 2), "done 3")
                        .expect(entry("e", 1), "ENTRY_FENCED")
                        .expect(claim("l", "d", "e", 1), "ENTRY_FENCED")
                        .expect(record("k", "e", 1, 200), "ENTRY_FENCED")
                        .expect(claim("k", "d", "e", 2), "in progress e")
                        .expect(new AbandonClaims(EntryId.of("e"), 2), "done 8")
                        .expect(claim("k", "d", "e", 2), "unknown 8")
                        .expect(claim("l", "d", "f", 1), "ENTRY_UNKNOWN"),
                claimed("decided claims expire, open ones do not")
                        .expect(record("k", "e", 1, 200), "done 3")
                        .expect(claim("l", "d", "e", 1), "granted 4")
                        .expect(new ExpireClaims(2), "done 5")
                        .expect(claim("k", "d", "e", 1), "replayed 200")
                        .expect(new ExpireClaims(9), "done 7")
                        .expect(claim("k", "d", "e", 1), "granted 8")
                        .expect(claim("l", "d", "e", 1, 2), "in progress e"),
                claimed("a full ledger refuses claims, and an answer that is too large is not kept")
                        .limits(new Limits(9, 1, 9_999, 0))
                        .expect(claim("l", "d", "e", 1), "LEDGER_FULL")
                        .expect(record("k", "e", 1, 200), "unknown 4"),
                of("configurations: resends, conflicts and stale numbers")
                        .expect(propose(5, "a", 0), "done 1")
                        .expect(propose(5, "a", 0), "done 1")
                        .expect(propose(5, "b", 0), "CONFIGURATION_CONFLICT")
                        .expect(propose(6, "b", 0), "done 2")
                        .expect(propose(5, "a", 0), "done 1")
                        .expect(propose(4, "a", 0), "CONFIGURATION_STALE"),
                of("owners must be registered, ranges must exist")
                        .expect(assign("e"), "ENTRY_UNKNOWN")
                        .expect(new AssignRange(64, Optional.empty()), "RANGE_UNKNOWN")
                        .expect(new AssignRange(63, Optional.empty()), "done 3"));
    }

    static Stream<Case> all() {
        return Stream.concat(jobs(), entries());
    }

    @ParameterizedTest
    @MethodSource("all")
    void commandsHaveExpectedOutcomes(Case testCase) {
        ControlState state = ControlState.create(testCase.limits);
        List<String> actual = new ArrayList<>();
        for (Command command : testCase.commands) {
            actual.add(Commands.apply(state, actual.size() + 1L, command));
        }
        assertThat(actual, is(equalTo(testCase.outcomes)));
    }

    @Test
    void epochIncreasesWithEachOwnerAndIsSettledByRepeatedAssignment() {
        ControlState state = ControlState.create();
        List<Command> commands = List.of(
                entry("e", 1),
                entry("f", 1),
                assign("e"),
                assign("f"),
                assign("f"),
                UNASSIGN,
                assign("e"),
                entry("e", 2));
        List<String> epochs = new ArrayList<>();
        for (int i = 0; i < commands.size(); i++) {
            Commands.apply(state, i + 1L, commands.get(i));
            epochs.add(state.read(
                    tables -> Optional.ofNullable(tables.ownership().targets().get(TargetId.of("t")))
                            .map(target -> target.ownership().epoch()
                                    + (target.ownership().settled() ? " settled" : " open"))
                            .orElse("none")));
        }
        assertThat(
                epochs, is(List.of("none", "none", "1 settled", "2 open", "2 settled", "3 open", "4 open", "5 open")));
    }
}
