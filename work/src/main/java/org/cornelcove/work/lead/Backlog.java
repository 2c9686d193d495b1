package org.cornelcove.work.lead;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.plan.QueueOrder;
import org.cornelcove.work.state.Job;
import org.cornelcove.work.state.Occurrence;
import org.cornelcove.work.state.Task;

/** The tasks that are ready to run but have no run, by step. Used on the leader's loop only. */
final class Backlog {
    private record StepKey(String jobId, int occurrence, int step) {}

    /** The waiting tasks of one step of one occurrence. */
    static final class WaitingStep {
        final Job job;
        final int occurrence;
        final int step;
        final Deque<Integer> indices = new ArrayDeque<>();
        private final int priority;
        private final long sinceMs;
        private final long objectiveMs;
        private final long remainingMs;
        /** Since when the step has waiting tasks, on the monotonic clock. */
        long waitingSinceMs;

        private WaitingStep(Job job, int occurrence, int step, QueueRule queue) {
            this.job = job;
            this.occurrence = occurrence;
            this.step = step;
            priority = queue.priority();
            sinceMs = Math.max(job.submittedMs(), job.spec().schedule().dueMs(occurrence));
            objectiveMs = queue.objectiveMs(job.spec());
            remainingMs = job.spec().chainMs(step);
        }

        StepSpec spec() {
            return job.spec().steps().get(step);
        }

        TaskKey task(int index) {
            return new TaskKey(job.spec().id(), occurrence, step, index);
        }

        private QueueOrder.Waiting order(long nowMs) {
            return new QueueOrder.Waiting(
                    priority,
                    sinceMs,
                    objectiveMs,
                    remainingMs,
                    spec().lasting(),
                    hasRun(indices.peekFirst()) ? nowMs - waitingSinceMs : 0);
        }

        private boolean hasRun(int index) {
            return job.task(task(index)).orElseThrow().lastRunId() > 0;
        }
    }

    private final Map<StepKey, WaitingStep> waiting = new LinkedHashMap<>();
    private final Set<StepKey> opened = new HashSet<>();

    /**
     * Adds the tasks of all steps that became ready and were not added before.
     *
     * @param job the job
     * @param number the occurrence, counted from 0
     * @param queue the queue as defined by the rules
     */
    void open(Job job, int number, QueueRule queue, long nowMs) {
        Occurrence occurrence = job.occurrence(number);
        List<StepSpec> steps = job.spec().steps();
        for (int step = 0; step < steps.size(); step++) {
            boolean ready = !occurrence.stepDone(step) && occurrence.stepReady(steps.get(step));
            if (ready && opened.add(new StepKey(job.spec().id(), number, step))) {
                Task[] tasks = occurrence.step(step);
                for (int index = 0; index < tasks.length; index++) {
                    if (!tasks[index].done() && tasks[index].runs().isEmpty()) {
                        add(job, new TaskKey(job.spec().id(), number, step, index), queue, nowMs);
                    }
                }
            }
        }
    }

    /**
     * Adds one task, before its siblings if it has run before.
     *
     * @param job the job
     * @param task the task
     * @param queue the queue as defined by the rules
     */
    void add(Job job, TaskKey task, QueueRule queue, long nowMs) {
        StepKey key = new StepKey(task.jobId(), task.occurrence(), task.step());
        WaitingStep step =
                waiting.computeIfAbsent(key, any -> new WaitingStep(job, task.occurrence(), task.step(), queue));
        if (step.indices.isEmpty()) {
            step.waitingSinceMs = nowMs;
        }
        if (!step.indices.contains(task.index())) {
            if (step.hasRun(task.index())) {
                step.indices.addFirst(task.index());
            } else {
                step.indices.addLast(task.index());
            }
        }
    }

    /**
     * Removes all tasks of a job.
     *
     * @param jobId the job
     */
    void drop(String jobId) {
        waiting.keySet().removeIf(key -> key.jobId().equals(jobId));
        opened.removeIf(key -> key.jobId().equals(jobId));
    }

    /**
     * Returns the steps that have waiting tasks, the most urgent first.
     *
     * @param wallMs the Unix time
     * @param nowMs the time on a monotonic clock
     * @return a new list, empty if no task waits
     */
    List<WaitingStep> inOrder(long wallMs, long nowMs) {
        waiting.values().removeIf(step -> step.indices.isEmpty());
        Map<WaitingStep, QueueOrder.Waiting> order = new HashMap<>();
        waiting.values().forEach(step -> order.put(step, step.order(nowMs)));
        List<WaitingStep> steps = new ArrayList<>(order.keySet());
        steps.sort(Comparator.comparing(order::get, QueueOrder.at(wallMs)));
        return steps;
    }
}
