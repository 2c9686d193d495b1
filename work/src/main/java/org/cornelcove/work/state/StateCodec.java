package org.cornelcove.work.state;

import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.Interference;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the whole state as a snapshot and decodes it. */
final class StateCodec {
    private StateCodec() {}

    static byte[] encode(
            WorkRules rules,
            List<Interference.Pair> interference,
            Collection<WorkerInfo> workers,
            Collection<Job> jobs) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            SpecCodec.writeRules(out, rules);
            SpecCodec.writePairs(out, interference);
            out.packArrayHeader(workers.size());
            for (WorkerInfo worker : workers) {
                SpecCodec.writeWorker(out, worker);
            }
            out.packArrayHeader(jobs.size());
            for (Job job : jobs) {
                writeJob(out, job);
            }
            writeCrashes(out, jobs);
            writeFailedGangRuns(out, jobs);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    static WorkRules decode(
            byte[] snapshot,
            List<Interference.Pair> interference,
            Map<String, WorkerInfo> workers,
            Map<String, Job> jobs) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(snapshot)) {
            WorkRules rules = SpecCodec.readRules(in);
            interference.addAll(SpecCodec.readPairs(in));
            int workerCount = in.unpackArrayHeader();
            for (int i = 0; i < workerCount; i++) {
                WorkerInfo worker = SpecCodec.readWorker(in);
                workers.put(worker.id(), worker);
            }
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                Job job = readJob(in);
                jobs.put(job.spec.id(), job);
            }
            readCrashes(in, jobs);
            readFailedGangRuns(in, jobs);
            return rules;
        } catch (IOException | MessagePackException e) {
            throw Failure.of(ErrorKind.FRAME_MALFORMED, String.valueOf(e.getMessage()))
                    .asException();
        }
    }

    private static void writeJob(MessagePacker out, Job job) throws IOException {
        SpecCodec.writeJob(out, job.spec);
        SpecCodec.writeQueue(out, job.acceptedBy);
        out.packLong(job.submittedMs)
                .packInt(job.phase.ordinal())
                .packLong(job.endedMs)
                .packInt(job.doneOccurrences);
        out.packArrayHeader(job.occurrences.size());
        for (Map.Entry<Integer, Occurrence> entry : job.occurrences.entrySet()) {
            out.packInt(entry.getKey());
            for (Task[] step : entry.getValue().tasks) {
                for (Task task : step) {
                    writeTask(out, task);
                }
            }
        }
    }

    private static Job readJob(MessageUnpacker in) throws IOException {
        Job job = new Job(SpecCodec.readJob(in), SpecCodec.readQueue(in), in.unpackLong());
        job.phase = SpecCodec.readEnum(in, JobPhase.values());
        job.endedMs = in.unpackLong();
        // Recomputed below: earlier versions counted an occurrence once for each member of a gang that ended as done.
        in.unpackInt();
        int count = in.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            Occurrence occurrence = job.occurrence(in.unpackInt());
            for (int step = 0; step < occurrence.tasks.length; step++) {
                for (Task task : occurrence.tasks[step]) {
                    readTask(in, task);
                    occurrence.doneCounts[step] += task.done ? 1 : 0;
                }
            }
            job.doneOccurrences += occurrence.done() ? 1 : 0;
        }
        reopenIfNotDone(job);
        return job;
    }

    /** Continues a job that an earlier version declared completed too early, as members that apply its log entries do. */
    private static void reopenIfNotDone(Job job) {
        if (job.phase == JobPhase.COMPLETED && !job.allOccurrencesDone()) {
            job.phase = JobPhase.RUNNING;
            job.endedMs = 0;
        }
    }

    /** Writes the tasks that were blamed for crashes; they are few, so they follow the jobs instead of widening each task. */
    private static void writeCrashes(MessagePacker out, Collection<Job> jobs) throws IOException {
        Map<TaskKey, Task> blamed = new LinkedHashMap<>();
        for (Job job : jobs) {
            job.occurrences.forEach((number, occurrence) -> {
                for (int step = 0; step < occurrence.tasks.length; step++) {
                    for (int index = 0; index < occurrence.tasks[step].length; index++) {
                        if (occurrence.tasks[step][index].crashes > 0) {
                            blamed.put(new TaskKey(job.spec.id(), number, step, index), occurrence.tasks[step][index]);
                        }
                    }
                }
            });
        }
        out.packArrayHeader(blamed.size());
        for (Map.Entry<TaskKey, Task> entry : blamed.entrySet()) {
            CommandCodec.write(out, entry.getKey());
            Task task = entry.getValue();
            out.packInt(task.crashes).packInt(task.lastCrashedRunId).packLong(task.lastCrashMs);
        }
    }

    private static void readCrashes(MessageUnpacker in, Map<String, Job> jobs) throws IOException {
        // Snapshots of versions that did not count crashes end here.
        int count = in.hasNext() ? in.unpackArrayHeader() : 0;
        for (int i = 0; i < count; i++) {
            TaskKey key = CommandCodec.readTask(in);
            Optional<Task> known = Optional.ofNullable(jobs.get(key.jobId())).flatMap(job -> job.task(key));
            SpecCodec.require(known.isPresent(), "task", key);
            Task task = known.get();
            task.crashes = in.unpackInt();
            task.lastCrashedRunId = in.unpackInt();
            task.lastCrashMs = in.unpackLong();
        }
    }

    private static void writeFailedGangRuns(MessagePacker out, Collection<Job> jobs) throws IOException {
        Map<TaskKey, Set<Integer>> failed = new LinkedHashMap<>();
        for (Job job : jobs) {
            job.occurrences.forEach((number, occurrence) -> occurrence.failedGangRuns.forEach(
                    (step, runs) -> failed.put(new TaskKey(job.spec.id(), number, step, 0), runs)));
        }
        out.packArrayHeader(failed.size());
        for (Map.Entry<TaskKey, Set<Integer>> entry : failed.entrySet()) {
            CommandCodec.write(out, entry.getKey());
            out.packArrayHeader(entry.getValue().size());
            for (int runId : entry.getValue()) {
                out.packInt(runId);
            }
        }
    }

    private static void readFailedGangRuns(MessageUnpacker in, Map<String, Job> jobs) throws IOException {
        // Snapshots of versions that counted each failed member end here.
        int count = in.hasNext() ? in.unpackArrayHeader() : 0;
        for (int i = 0; i < count; i++) {
            TaskKey key = CommandCodec.readTask(in);
            Optional<Job> job = Optional.ofNullable(jobs.get(key.jobId()));
            SpecCodec.require(job.flatMap(known -> known.task(key)).isPresent(), "task", key);
            Set<Integer> runs = new TreeSet<>();
            int runCount = in.unpackArrayHeader();
            for (int run = 0; run < runCount; run++) {
                runs.add(in.unpackInt());
            }
            job.get().occurrence(key.occurrence()).failedGangRuns.put(key.step(), runs);
        }
    }

    private static void writeTask(MessagePacker out, Task task) throws IOException {
        out.packInt(task.lastRunId)
                .packInt(task.failures)
                .packBoolean(task.done)
                .packString(task.checkpoint);
        out.packArrayHeader(task.runs.size());
        for (Run run : task.runs) {
            out.packInt(run.runId())
                    .packString(run.worker())
                    .packLong(run.workerStartMs())
                    .packLong(run.startedMs());
        }
    }

    private static void readTask(MessageUnpacker in, Task task) throws IOException {
        task.lastRunId = in.unpackInt();
        task.failures = in.unpackInt();
        task.done = in.unpackBoolean();
        task.checkpoint = in.unpackString();
        int runs = in.unpackArrayHeader();
        for (int i = 0; i < runs; i++) {
            task.runs.add(new Run(in.unpackInt(), in.unpackString(), in.unpackLong(), in.unpackLong()));
        }
    }
}
