package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/** Workers that list their ended runs in several answers. */
class ManyEndsTest extends TermRig {
    private static final int TASKS = 12;

    /** Lets the tasks end while no leader polls their worker. */
    private FakeWorkers.Incarnation workerWithUnlistedEnds(int endsPerPoll) {
        workers.endsPerPoll = endsPerPoll;
        workers.cpuMillis.put("w1", TASKS * 1000);
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(TASKS)));
        loop.run(300);
        loop.leased = false;
        loop.run(1000);
        assertThat(worker.running.keySet(), empty());
        return worker;
    }

    /** Guards against done tasks that run again since their ends were on a later page than the first. */
    @ParameterizedTest
    @CsvSource({"5,true", "5,false", "1,true", "6,true", "12,true"})
    void aTaskWhoseEndIsOnALaterPageDoesNotRunAgain(int endsPerPoll, boolean newLeader) {
        workerWithUnlistedEnds(endsPerPoll);
        loop.leased = true;
        if (newLeader) {
            lead();
        }
        runWithBeats(3000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
        assertThat(workers.faults, empty());
    }

    /** A run that the worker does not have is still found once all ends were listed. */
    @Test
    void aRunThatTheWorkerLostStartsAgain() {
        FakeWorkers.Incarnation worker = workerWithUnlistedEnds(5);
        worker.ended.remove(TASKS - 1);
        loop.leased = true;
        lead();
        runWithBeats(3000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values().stream().filter(count -> count == 2).count(), is(1L));
    }
}
