package org.cornelcove.work.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.PoolRule;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.Interference;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes job specifications, rules, workers and interference pairs, field by field. */
final class SpecCodec {
    private SpecCodec() {}

    static void writeJob(MessagePacker out, JobSpec spec) throws IOException {
        out.packString(spec.id())
                .packString(spec.host())
                .packString(spec.pathPrefix())
                .packString(spec.taskText());
        out.packArrayHeader(spec.steps().size());
        for (StepSpec step : spec.steps()) {
            writeStep(out, step);
        }
        out.packLong(spec.schedule().firstAtMs())
                .packLong(spec.schedule().intervalMs())
                .packInt(spec.schedule().repeatCount());
    }

    /** Throws a failure of kind {@code FRAME_MALFORMED} unless a value is in its range. */
    static void require(boolean inRange, String what, Object value) {
        if (!inRange) {
            throw Failure.of(ErrorKind.FRAME_MALFORMED, what + ' ' + value).asException();
        }
    }

    static <T extends Enum<T>> T readEnum(MessageUnpacker in, T[] values) throws IOException {
        int ordinal = in.unpackInt();
        require(ordinal >= 0 && ordinal < values.length, "ordinal", ordinal);
        return values[ordinal];
    }

    static JobSpec readJob(MessageUnpacker in) throws IOException {
        String id = in.unpackString();
        String host = in.unpackString();
        String pathPrefix = in.unpackString();
        String taskText = in.unpackString();
        int count = in.unpackArrayHeader();
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(readStep(in, i));
        }
        Schedule schedule = new Schedule(in.unpackLong(), in.unpackLong(), in.unpackInt());
        return new JobSpec(id, host, pathPrefix, taskText, List.copyOf(steps), schedule);
    }

    private static void writeStep(MessagePacker out, StepSpec step) throws IOException {
        out.packInt(step.count())
                .packInt(step.cpuMillis())
                .packInt(step.memoryMb())
                .packInt(step.accelerators())
                .packLong(step.estimateMs());
        out.packArrayHeader(step.after().size());
        for (int after : step.after()) {
            out.packInt(after);
        }
        out.packBoolean(step.checkpointing())
                .packBoolean(step.gang())
                .packBoolean(step.sameRack())
                .packString(step.requiredLabel())
                .packString(step.dataRack())
                .packInt(step.maxPerWorker())
                .packBoolean(step.copies())
                .packBoolean(step.lasting())
                .packString(step.image())
                .packLong(step.targetMs())
                .packBoolean(step.fill())
                .packInt(step.maxUnavailable());
    }

    private static StepSpec readStep(MessageUnpacker in, int number) throws IOException {
        int count = in.unpackInt();
        require(count >= 1 && count <= StepSpec.MAX_TASKS, "number of tasks", count);
        int cpuMillis = in.unpackInt();
        int memoryMb = in.unpackInt();
        int accelerators = in.unpackInt();
        long estimateMs = in.unpackLong();
        int afterCount = in.unpackArrayHeader();
        List<Integer> after = new ArrayList<>();
        for (int i = 0; i < afterCount; i++) {
            int earlier = in.unpackInt();
            require(earlier >= 0 && earlier < number, "earlier step", earlier);
            after.add(earlier);
        }
        return new StepSpec(
                count,
                cpuMillis,
                memoryMb,
                accelerators,
                estimateMs,
                List.copyOf(after),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackString(),
                in.unpackLong(),
                in.unpackBoolean(),
                in.unpackInt());
    }

    static void writeQueue(MessagePacker out, QueueRule queue) throws IOException {
        out.packString(queue.name())
                .packString(queue.host())
                .packString(queue.pathPrefix())
                .packString(queue.pool())
                .packInt(queue.priority())
                .packInt(queue.attempts())
                .packDouble(queue.stretch())
                .packLong(queue.targetLatencyMs());
    }

    static QueueRule readQueue(MessageUnpacker in) throws IOException {
        return new QueueRule(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackDouble(),
                in.unpackLong());
    }

    static void writeRules(MessagePacker out, WorkRules rules) throws IOException {
        out.packLong(rules.version());
        out.packBinaryHeader(rules.source().length).writePayload(rules.source());
        out.packArrayHeader(rules.queues().size());
        for (QueueRule queue : rules.queues()) {
            writeQueue(out, queue);
        }
        out.packArrayHeader(rules.pools().size());
        for (PoolRule pool : rules.pools()) {
            out.packString(pool.name()).packBoolean(pool.guarded()).packBoolean(pool.standby());
        }
    }

    static WorkRules readRules(MessageUnpacker in) throws IOException {
        long version = in.unpackLong();
        byte[] source = in.readPayload(in.unpackBinaryHeader());
        int queueCount = in.unpackArrayHeader();
        List<QueueRule> queues = new ArrayList<>();
        for (int i = 0; i < queueCount; i++) {
            queues.add(readQueue(in));
        }
        int poolCount = in.unpackArrayHeader();
        List<PoolRule> pools = new ArrayList<>();
        for (int i = 0; i < poolCount; i++) {
            pools.add(new PoolRule(in.unpackString(), in.unpackBoolean(), in.unpackBoolean()));
        }
        return new WorkRules(version, source, List.copyOf(queues), List.copyOf(pools));
    }

    static void writeWorker(MessagePacker out, WorkerInfo worker) throws IOException {
        out.packString(worker.id())
                .packLong(worker.processStartMs())
                .packString(worker.address())
                .packString(worker.zone())
                .packString(worker.pool())
                .packInt(worker.cpuMillis())
                .packInt(worker.memoryMb())
                .packInt(worker.accelerators());
        out.packArrayHeader(worker.labels().size());
        for (String label : worker.labels()) {
            out.packString(label);
        }
    }

    /** Reads a worker. Fields that change with each heartbeat are not stored and get default values. */
    static WorkerInfo readWorker(MessageUnpacker in) throws IOException {
        String id = in.unpackString();
        long processStartMs = in.unpackLong();
        String address = in.unpackString();
        String zone = in.unpackString();
        String pool = in.unpackString();
        int cpuMillis = in.unpackInt();
        int memoryMb = in.unpackInt();
        int accelerators = in.unpackInt();
        int count = in.unpackArrayHeader();
        List<String> labels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            labels.add(in.unpackString());
        }
        return new WorkerInfo(
                id,
                processStartMs,
                address,
                zone,
                pool,
                false,
                OptionalLong.empty(),
                0,
                cpuMillis,
                memoryMb,
                accelerators,
                List.copyOf(labels),
                0,
                0);
    }

    static void writePairs(MessagePacker out, List<Interference.Pair> pairs) throws IOException {
        out.packArrayHeader(pairs.size());
        for (Interference.Pair pair : pairs) {
            out.packString(pair.serving()).packString(pair.fill()).packDouble(pair.harm());
        }
    }

    static List<Interference.Pair> readPairs(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        List<Interference.Pair> pairs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pairs.add(new Interference.Pair(in.unpackString(), in.unpackString(), in.unpackDouble()));
        }
        return List.copyOf(pairs);
    }
}
