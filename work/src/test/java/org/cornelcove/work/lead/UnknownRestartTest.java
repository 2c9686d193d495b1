package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Restarts of a worker under its id that the leader does not know of when it acts upon the earlier incarnation. */
class UnknownRestartTest extends TermRig {
    /** Regression test for TWICE: a start under way was carried out by the third incarnation after the second was stopped. */
    @Test
    void aStartThatAThirdIncarnationCarriesOutDoesNotRunBesideAnother() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.lateStartMs = 450;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        old.crash();
        FakeWorkers.Incarnation second = workers.restart("w1", 2);
        second.pollsLost = true;
        loop.term.announce(workers.info("w1", 2, old.info.address(), false, 1));
        loop.run(50);
        second.crash();
        workers.restart("w1", 3);
        workers.add("w2", 1);
        workers.taskMs = 3000;
        loop.run(1000);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }
}
