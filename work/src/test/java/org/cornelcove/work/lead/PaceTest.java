package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.TaskKey;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Orders for the pace of fill work whose answers are lost or late. */
class PaceTest extends TermRig {
    private static final TaskKey FILL = new TaskKey("f", 0, 0, 0);
    private static final TaskKey SERVING = new TaskKey("s", 0, 0, 0);

    private FakeWorkers.Incarnation worker;
    private boolean overloaded;

    private void runBesideALastingTask() {
        workers.taskMs = 1_000_000;
        worker = workers.add("w1", 1);
        submit(Steps.job("s", Steps.lasting("s", 1000, 50)));
        loop.run(500);
        submit(Steps.job("f", Steps.fill("f", 500)));
        worker.figure = task -> {
            boolean works = workers.paces.getOrDefault(FILL, 100) > 0;
            return task.equals(FILL) ? works ? 500 : 0 : overloaded && works ? 60 : 20;
        };
        runWithBeats(2000);
    }

    private void runUntilPaused() {
        overloaded = true;
        for (int i = 0; i < 500 && workers.paces.getOrDefault(FILL, 100) > 0; i++) {
            if (i % 100 == 0) {
                workers.beat(loop.nowMs());
            }
            loop.run(10);
        }
        assertThat("paused", workers.paces.get(FILL), is(0));
        overloaded = false;
    }

    /** Guards against fill work that stays paused: the order was carried out, its answer was lost. */
    @Test
    void aPaceWhoseAnswerWasLostIsTakenBack() {
        runBesideALastingTask();
        worker.paceAnswersLost = true;
        runUntilPaused();
        runWithBeats(1000);
        worker.paceAnswersLost = false;
        runWithBeats(3000);
        assertThat("resumed", workers.paces.get(FILL), is(100));
    }

    /** Guards against fill work that stays paused after the lasting task that it disturbed has gone. */
    @Test
    void fillWorkIsResumedWhenNoLastingTaskIsLeft() {
        runBesideALastingTask();
        runUntilPaused();
        cancel("s");
        runWithBeats(3000);
        assertThat("has gone", worker.running.containsKey(SERVING), is(false));
        assertThat("resumed", workers.paces.get(FILL), is(100));
    }
}
