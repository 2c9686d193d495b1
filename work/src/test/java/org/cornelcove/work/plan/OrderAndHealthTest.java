package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class OrderAndHealthTest {
    @Test
    void atALoadPeakUrgentWorkComesFirstAndHopelessWorkLast() {
        QueueOrder.Waiting hopeless = new QueueOrder.Waiting(0, 0, 1000, 500, false, 0);
        QueueOrder.Waiting later = new QueueOrder.Waiting(0, 9500, 2000, 500, false, 0);
        QueueOrder.Waiting sooner = new QueueOrder.Waiting(0, 9600, 500, 50, false, 0);
        QueueOrder.Waiting bulk = new QueueOrder.Waiting(2, 8000, 2500, 400, false, 0);
        List<QueueOrder.Waiting> order = new ArrayList<>(List.of(hopeless, bulk, later, sooner));
        order.sort(QueueOrder.at(10_000));
        assertThat(order, is(List.of(sooner, later, bulk, hopeless)));
    }

    /** Load pattern: the fleet is full of short work when lasting tasks of jobs submitted long ago fail. */
    @ParameterizedTest
    @CsvSource({"0, 3", "4000, 3", "5000, 0", "60000, 0"})
    void aStoppedLastingTaskComesFirstAfterFiveSeconds(long stoppedMs, int place) {
        QueueOrder.Waiting inTime = new QueueOrder.Waiting(0, 99_500, 2000, 500, false, 0);
        QueueOrder.Waiting late = new QueueOrder.Waiting(0, 97_500, 2000, 500, false, 0);
        QueueOrder.Waiting hopeless = new QueueOrder.Waiting(0, 50_000, 2000, 500, false, 0);
        QueueOrder.Waiting stopped = new QueueOrder.Waiting(0, 0, 3000, 300, true, stoppedMs);
        List<QueueOrder.Waiting> order = new ArrayList<>(List.of(hopeless, late, stopped, inTime));
        order.sort(QueueOrder.at(100_000));
        assertThat(order.indexOf(stopped), is(place));
    }

    @Test
    void repeatedFailuresOfOneJobDoNotQuarantineAWorker() {
        WorkerHealth health = new WorkerHealth();
        health.failed("poison", 0);
        health.failed("poison", 10);
        health.failed("poison", 20);
        assertThat(health.quarantined(30), is(false));
    }

    @Test
    void aWorkerOnWhichSeveralJobsFailIsQuarantinedForLongerEachTime() {
        WorkerHealth health = new WorkerHealth();
        health.failed("a", 0);
        health.failed("b", 100);
        assertThat(health.quarantined(4000), is(true));
        assertThat(health.quarantined(4200), is(false));
        assertThat(health.onProbation(4200), is(true));
        health.failed("c", 4300);
        assertThat(health.quarantined(12_000), is(true));
        health.succeeded();
        assertThat(health.quarantined(12_001), is(false));
        assertThat(health.onProbation(12_001), is(false));
    }

    /** Guards against a worker that is out for good because no run on it ends as done. */
    @ParameterizedTest
    @CsvSource({"18999, true", "19099, true", "19100, false"})
    void aVerdictWithoutFurtherFailuresGrowsOld(long nowMs, boolean onProbation) {
        WorkerHealth health = new WorkerHealth();
        health.failed("a", 0);
        health.failed("b", 100);
        assertThat(health.onProbation(nowMs), is(onProbation));
        assertThat(health.failurePenalty(nowMs) > 0, is(onProbation));
        health.failed("c", nowMs);
        assertThat(health.quarantined(nowMs + 1), is(onProbation));
    }

    @ParameterizedTest
    @CsvSource({"100, true", "59999, true", "60000, false", "3600000, false"})
    void failuresFarApartAreNotInARow(long secondMs, boolean quarantined) {
        WorkerHealth health = new WorkerHealth();
        health.failed("a", 0);
        health.failed("b", secondMs);
        assertThat(health.quarantined(secondMs), is(quarantined));
    }

    @Test
    void aQuarantinedWorkerMayBeTriedSomeTimeAfterEachFailure() {
        WorkerHealth health = new WorkerHealth();
        health.failed("a", 0);
        health.failed("b", 0);
        health.failed("c", 4000);
        assertThat(health.quarantined(8000), is(true));
        assertThat(health.mayBeTried(7999), is(false));
        assertThat(health.mayBeTried(8000), is(true));
        health.failed("d", 8500);
        assertThat(health.mayBeTried(12_499), is(false));
        assertThat(health.quarantined(12_000), is(false));
    }
}
