package org.cornelcove.work;

import java.util.List;

import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.PoolRule;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.WorkRules;

/** Steps, jobs and rules for tests. */
public final class Steps {
    public static final QueueRule QUEUE = new QueueRule("q", "h", "/q/", "pool", 0, 3, 2, 1000);
    public static final WorkRules RULES =
            new WorkRules(1, new byte[] {1}, List.of(QUEUE), List.of(new PoolRule("pool", true, false)));

    private Steps() {}

    public static StepSpec plain(int count, Integer... after) {
        return new StepSpec(
                count,
                1000,
                100,
                0,
                500,
                List.of(after),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    public static StepSpec reserving(int cpuMillis) {
        return new StepSpec(
                1, cpuMillis, 100, 0, 500, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
    }

    public static StepSpec copies(int count, Integer... after) {
        return new StepSpec(
                count, 1000, 100, 0, 500, List.of(after), false, false, false, "", "", 0, true, false, "", 0, false, 0);
    }

    public static StepSpec gang(int count, Integer... after) {
        return new StepSpec(
                count, 1000, 100, 0, 500, List.of(after), false, true, false, "", "", 0, false, false, "", 0, false, 0);
    }

    public static StepSpec fill(String image, int cpuMillis) {
        return new StepSpec(
                1, cpuMillis, 100, 0, 500, List.of(), true, false, false, "", "", 0, false, false, image, 0, true, 0);
    }

    public static StepSpec lasting(String image, int cpuMillis, long targetMs) {
        return new StepSpec(
                1, cpuMillis, 100, 0, 500, List.of(), false, false, false, "", "", 0, false, true, image, targetMs,
                false, 0);
    }

    public static StepSpec lasting(int count) {
        return new StepSpec(
                count, 1000, 100, 0, 500, List.of(), false, false, false, "", "", 0, false, true, "", 0, false, 0);
    }

    public static StepSpec lastingOn(String label, int cpuMillis) {
        return new StepSpec(
                1, cpuMillis, 100, 0, 500, List.of(), false, false, false, label, "", 0, false, true, "image", 50,
                false, 0);
    }

    public static StepSpec needing(String label, String rack, int maxPerWorker) {
        return new StepSpec(
                1,
                1000,
                100,
                0,
                500,
                List.of(),
                false,
                false,
                false,
                label,
                rack,
                maxPerWorker,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    public static JobSpec job(String id, StepSpec... steps) {
        return new JobSpec(id, QUEUE.host(), QUEUE.pathPrefix(), "spec", List.of(steps), Schedule.ONCE);
    }

    public static JobSpec repeated(String id, int repeatCount, StepSpec... steps) {
        Schedule schedule = new Schedule(2, 0, repeatCount);
        return new JobSpec(id, QUEUE.host(), QUEUE.pathPrefix(), "spec", List.of(steps), schedule);
    }
}
