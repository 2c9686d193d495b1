package org.cornelcove.work.state;

import java.util.Arrays;
import java.util.List;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

class WorkStateTest {
    private static final int GANG_SIZE = 3;

    private final WorkState state = new WorkState();
    private long index;

    private Verdict apply(WorkCommand command) {
        return Verdict.values()[state.apply(++index, CommandCodec.encode(List.of(command)))[0]];
    }

    private Verdict submit(JobSpec spec) {
        return apply(new WorkCommand.Submit(spec, Steps.QUEUE, 1000));
    }

    private Verdict start(TaskKey task, int runId) {
        return apply(new WorkCommand.Start(task, runId, "w", 7, 1000));
    }

    private Verdict end(TaskKey task, int runId, RunEnd how) {
        return apply(new WorkCommand.End(task, runId, how, "", 2000));
    }

    private JobPhase phase(String job) {
        return state.job(job).orElseThrow().phase();
    }

    private static TaskKey task(int step, int index) {
        return new TaskKey("j", 0, step, index);
    }

    @Test
    void aRepeatedIdDoesNotReplaceTheJob() {
        assertThat(submit(Steps.job("j", Steps.plain(1))), is(Verdict.DONE));
        assertThat(submit(Steps.job("j", Steps.plain(5))), is(Verdict.UNCHANGED));
        assertThat(state.job("j").orElseThrow().spec().steps().get(0).count(), is(1));
    }

    @Test
    void aStepWaitsForItsDependencies() {
        submit(Steps.job("j", Steps.plain(2), Steps.plain(1, 0)));
        assertThat(start(task(1, 0), 1), is(Verdict.REFUSED));
        start(task(0, 0), 1);
        start(task(0, 1), 1);
        end(task(0, 0), 1, RunEnd.DONE);
        assertThat(start(task(1, 0), 1), is(Verdict.REFUSED));
        end(task(0, 1), 1, RunEnd.DONE);
        assertThat(start(task(1, 0), 1), is(Verdict.DONE));
        end(task(1, 0), 1, RunEnd.DONE);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    @Test
    void aTaskHasOneRunAtATimeUnlessCopiesMayRun() {
        submit(Steps.job("j", Steps.plain(1), Steps.copies(1)));
        assertThat(start(task(0, 0), 1), is(Verdict.DONE));
        assertThat(start(task(0, 0), 2), is(Verdict.REFUSED));
        assertThat(start(task(1, 0), 1), is(Verdict.DONE));
        assertThat(start(task(1, 0), 2), is(Verdict.DONE));
    }

    @ParameterizedTest
    @EnumSource(names = {"STOPPED", "LAPSED", "BROKEN", "ALONE", "LOST"})
    void onlyFailuresCountAsAttempts(RunEnd how) {
        submit(Steps.job("j", Steps.plain(1)));
        for (int runId = 1; runId <= 2 * Steps.QUEUE.attempts(); runId++) {
            assertThat(start(task(0, 0), runId), is(Verdict.DONE));
            end(task(0, 0), runId, how);
        }
        assertThat(phase("j"), is(JobPhase.RUNNING));
    }

    @Test
    void aJobFailsWithTheLastAttemptOfATask() {
        submit(Steps.job("j", Steps.plain(1)));
        for (int runId = 1; runId <= Steps.QUEUE.attempts(); runId++) {
            assertThat(phase("j"), is(runId == 1 ? JobPhase.QUEUED : JobPhase.RUNNING));
            start(task(0, 0), runId);
            end(task(0, 0), runId, RunEnd.FAILED);
        }
        assertThat(phase("j"), is(JobPhase.FAILED));
        assertThat(start(task(0, 0), 9), is(Verdict.REFUSED));
    }

    @Test
    void aDoneTaskNeverRunsAgainAndARunNumberIsNeverReused() {
        submit(Steps.job("j", Steps.plain(2)));
        start(task(0, 0), 1);
        end(task(0, 0), 1, RunEnd.DONE);
        assertThat(start(task(0, 0), 2), is(Verdict.REFUSED));
        start(task(0, 1), 4);
        end(task(0, 1), 4, RunEnd.LOST);
        assertThat(start(task(0, 1), 4), is(Verdict.REFUSED));
        assertThat(start(task(0, 1), 5), is(Verdict.DONE));
    }

    @Test
    void oneDoneMemberCompletesItsGang() {
        submit(Steps.job("j", Steps.gang(3)));
        for (int member = 0; member < 3; member++) {
            start(task(0, member), 1);
        }
        end(task(0, 1), 1, RunEnd.DONE);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    private void runGang(int occurrence, int step, int runId, int ends) {
        for (int member = 0; member < GANG_SIZE; member++) {
            start(new TaskKey("j", occurrence, step, member), runId);
        }
        for (int member = 0; member < ends; member++) {
            end(new TaskKey("j", occurrence, step, member), runId, RunEnd.DONE);
        }
    }

    private static List<List<StepSpec>> repeatedGangs() {
        return List.of(
                List.of(Steps.gang(GANG_SIZE)),
                List.of(Steps.gang(GANG_SIZE), Steps.gang(GANG_SIZE, 0)),
                List.of(Steps.gang(GANG_SIZE), Steps.gang(GANG_SIZE)));
    }

    /** Regression test for MIXED: each member of a gang that ended as done counted as an occurrence of its job. */
    @ParameterizedTest
    @MethodSource("repeatedGangs")
    void aRepeatedGangIsCompletedWithItsLastOccurrence(List<StepSpec> steps) {
        submit(Steps.repeated("j", 3, steps.toArray(StepSpec[]::new)));
        for (int occurrence = 0; occurrence < 3; occurrence++) {
            assertThat("before occurrence " + occurrence, phase("j").ended(), is(false));
            for (int step = 0; step < steps.size(); step++) {
                runGang(occurrence, step, 1, GANG_SIZE);
            }
            state.restore(state.snapshot());
        }
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** The ends of the other members arrive when a later step of the occurrence is done already. */
    @Test
    void lateEndsOfAGangDoNotCountAsAnOccurrence() {
        submit(Steps.repeated("j", 2, Steps.gang(GANG_SIZE), Steps.plain(1, 0)));
        runGang(0, 0, 1, 1);
        start(task(1, 0), 1);
        end(task(1, 0), 1, RunEnd.DONE);
        for (int member = 1; member < GANG_SIZE; member++) {
            end(task(0, member), 1, RunEnd.DONE);
        }
        assertThat(phase("j"), is(JobPhase.RUNNING));
    }

    /** Snapshots of earlier versions hold jobs whose occurrences were counted too often. */
    @ParameterizedTest
    @CsvSource({"RUNNING, false", "COMPLETED, false", "RUNNING, true", "COMPLETED, true"})
    void aSnapshotWithTooManyCountedOccurrencesIsCorrected(JobPhase phase, boolean withoutFailedRuns) {
        submit(Steps.repeated("j", 2, Steps.gang(GANG_SIZE)));
        runGang(0, 0, 1, 1);
        Job miscounted = state.job("j").orElseThrow();
        miscounted.doneOccurrences = 2;
        miscounted.phase = phase;
        miscounted.endedMs = phase.ended() ? 2000 : 0;
        byte[] snapshot = state.snapshot();
        // The list of failed runs, which earlier versions lack, is empty and takes the last byte.
        state.restore(withoutFailedRuns ? Arrays.copyOf(snapshot, snapshot.length - 1) : snapshot);
        assertThat(phase("j"), is(JobPhase.RUNNING));
        assertThat(state.job("j").orElseThrow().endedMs(), is(0L));
        runGang(1, 0, 1, GANG_SIZE);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Regression test for LOST: each member of a gang that ended as failed counted as an attempt of the gang. */
    @Test
    void oneRunOfAGangIsOneAttemptAlsoAfterARestore() {
        submit(Steps.job("j", Steps.gang(GANG_SIZE)));
        for (int runId = 1; runId <= Steps.QUEUE.attempts(); runId++) {
            runGang(0, 0, runId, 0);
            for (int member = 0; member < GANG_SIZE; member++) {
                boolean lastAttempt = runId == Steps.QUEUE.attempts() && member > 0;
                assertThat("run " + runId + " member " + member, phase("j").ended(), is(lastAttempt));
                end(task(0, member), runId, RunEnd.FAILED);
                state.restore(state.snapshot());
            }
        }
        assertThat(phase("j"), is(JobPhase.FAILED));
    }

    @Test
    void aCancelledJobStaysCancelledAndStartsNothing() {
        submit(Steps.job("j", Steps.plain(1)));
        start(task(0, 0), 1);
        assertThat(apply(new WorkCommand.Cancel("j", 5)), is(Verdict.DONE));
        assertThat(apply(new WorkCommand.Cancel("j", 6)), is(Verdict.UNCHANGED));
        end(task(0, 0), 1, RunEnd.DONE);
        assertThat(phase("j"), is(JobPhase.CANCELLED));
        assertThat(start(task(0, 0), 2), is(Verdict.REFUSED));
        assertThat(apply(new WorkCommand.Cancel("other", 6)), is(Verdict.UNKNOWN));
    }

    @Test
    void rulesOfTheCurrentVersionAreIgnored() {
        assertThat(apply(new WorkCommand.Configure(Steps.RULES)), is(Verdict.DONE));
        WorkRules other = new WorkRules(1, new byte[] {2}, List.of(), List.of());
        assertThat(apply(new WorkCommand.Configure(other)), is(Verdict.UNCHANGED));
        assertThat(state.rules().source(), equalTo(new byte[] {1}));
    }

    private Verdict crash(TaskKey task, int runId, long atMs) {
        return apply(new WorkCommand.RecordCrash(task, runId, atMs));
    }

    @Test
    void aTaskThatCrashedThreeWorkersFailsItsJobAlsoAfterARestore() {
        submit(Steps.job("j", Steps.plain(2)));
        for (int runId = 1; runId <= CrashBlame.MAX_CRASHES; runId++) {
            assertThat(phase("j"), is(runId == 1 ? JobPhase.QUEUED : JobPhase.RUNNING));
            start(task(0, 0), runId);
            assertThat(crash(task(0, 0), runId, 1000L * runId), is(Verdict.DONE));
            assertThat("repeated", crash(task(0, 0), runId, 1000L * runId), is(Verdict.UNCHANGED));
            end(task(0, 0), runId, RunEnd.LOST);
            state.restore(state.snapshot());
        }
        assertThat(phase("j"), is(JobPhase.FAILED));
        assertThat(start(task(0, 0), 9), is(Verdict.REFUSED));
    }

    @Test
    void crashesLongAgoDoNotCount() {
        submit(Steps.job("j", Steps.lasting("i", 10, 50)));
        for (int runId = 1; runId <= 2 * CrashBlame.MAX_CRASHES; runId++) {
            start(task(0, 0), runId);
            crash(task(0, 0), runId, 700_000L * runId);
            end(task(0, 0), runId, RunEnd.LOST);
        }
        assertThat(phase("j"), is(JobPhase.RUNNING));
    }

    @Test
    void aCrashOfARunThatNeverWasOrOfAnEndedJobChangesNothing() {
        submit(Steps.job("j", Steps.plain(1)));
        start(task(0, 0), 1);
        assertThat(crash(task(0, 0), 2, 1000), is(Verdict.UNCHANGED));
        assertThat(crash(task(0, 7), 1, 1000), is(Verdict.UNCHANGED));
        assertThat(crash(new TaskKey("other", 0, 0, 0), 1, 1000), is(Verdict.UNKNOWN));
        end(task(0, 0), 1, RunEnd.DONE);
        assertThat(crash(task(0, 0), 1, 1000), is(Verdict.UNCHANGED));
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    @Test
    void aSnapshotHoldsEverything() {
        apply(new WorkCommand.Configure(Steps.RULES));
        submit(Steps.job("j", Steps.plain(2), Steps.plain(1, 0)));
        submit(Steps.job("k", Steps.lasting("i", 10, 50)));
        start(task(0, 0), 1);
        apply(new WorkCommand.End(task(0, 0), 1, RunEnd.FAILED, "saved", 2000));
        start(task(0, 0), 2);
        start(task(0, 1), 1);
        end(task(0, 1), 1, RunEnd.DONE);
        crash(task(0, 0), 2, 3000);
        WorkState copy = new WorkState();
        copy.restore(state.snapshot());
        assertThat(copy.snapshot(), equalTo(state.snapshot()));
        Task task = copy.job("j").orElseThrow().task(task(0, 0)).orElseThrow();
        assertThat(task.checkpoint(), is("saved"));
        assertThat(task.failures(), is(1));
        assertThat(task.crashes(), is(1));
        assertThat(task.runs().get(0).runId(), is(2));
        assertThat(copy.rules().queues(), is(Steps.RULES.queues()));
    }
}
