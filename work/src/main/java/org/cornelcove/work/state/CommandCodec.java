package org.cornelcove.work.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes a batch of commands as one log entry and decodes it. Fields are written by hand, because every task passes
 * through this codec twice on each member; binding by reflection costs several times as much.
 */
public final class CommandCodec {
    private static final int CONFIGURE = 1;
    private static final int SUBMIT = 2;
    private static final int CANCEL = 3;
    private static final int START = 4;
    private static final int END = 5;
    private static final int REMOVE_JOB = 6;
    private static final int RECORD_WORKER = 7;
    private static final int DROP_WORKER = 8;
    private static final int RECORD_INTERFERENCE = 9;
    private static final int RECORD_CRASH = 10;

    private CommandCodec() {}

    /**
     * Encodes a batch.
     *
     * @param batch the commands, in the order in which they are applied
     * @return one log entry in MessagePack
     */
    public static byte[] encode(List<WorkCommand> batch) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(batch.size());
            for (WorkCommand command : batch) {
                write(packer, command);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a batch; throws a failure of kind {@code FRAME_MALFORMED} when the bytes are not a valid batch.
     *
     * @param bytes one log entry
     * @return the commands, in the order in which they are applied
     */
    public static List<WorkCommand> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int count = unpacker.unpackArrayHeader();
            List<WorkCommand> batch = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                batch.add(read(unpacker));
            }
            return batch;
        } catch (IOException | MessagePackException e) {
            throw Failure.of(ErrorKind.FRAME_MALFORMED, String.valueOf(e.getMessage()))
                    .asException();
        }
    }

    private static void write(MessagePacker packer, WorkCommand command) throws IOException {
        if (command instanceof WorkCommand.Start start) {
            packer.packInt(START);
            write(packer, start.task());
            packer.packInt(start.runId())
                    .packString(start.worker())
                    .packLong(start.workerStartMs())
                    .packLong(start.atMs());
        } else if (command instanceof WorkCommand.End end) {
            packer.packInt(END);
            write(packer, end.task());
            packer.packInt(end.runId())
                    .packInt(end.how().ordinal())
                    .packString(end.checkpoint())
                    .packLong(end.atMs());
        } else if (command instanceof WorkCommand.RecordCrash crash) {
            packer.packInt(RECORD_CRASH);
            write(packer, crash.task());
            packer.packInt(crash.runId()).packLong(crash.atMs());
        } else if (command instanceof WorkCommand.Submit submit) {
            packer.packInt(SUBMIT);
            SpecCodec.writeJob(packer, submit.spec());
            SpecCodec.writeQueue(packer, submit.queue());
            packer.packLong(submit.atMs());
        } else if (command instanceof WorkCommand.Cancel cancel) {
            packer.packInt(CANCEL).packString(cancel.jobId()).packLong(cancel.atMs());
        } else if (command instanceof WorkCommand.Configure configure) {
            packer.packInt(CONFIGURE);
            SpecCodec.writeRules(packer, configure.rules());
        } else if (command instanceof WorkCommand.RecordInterference recordInterference) {
            packer.packInt(RECORD_INTERFERENCE);
            SpecCodec.writePairs(packer, recordInterference.pairs());
        } else if (command instanceof WorkCommand.RecordWorker recordWorker) {
            packer.packInt(RECORD_WORKER);
            SpecCodec.writeWorker(packer, recordWorker.worker());
        } else if (command instanceof WorkCommand.DropWorker dropWorker) {
            packer.packInt(DROP_WORKER).packString(dropWorker.worker()).packLong(dropWorker.workerStartMs());
        } else if (command instanceof WorkCommand.RemoveJob removeJob) {
            packer.packInt(REMOVE_JOB).packString(removeJob.jobId());
        }
    }

    private static WorkCommand read(MessageUnpacker in) throws IOException {
        int kind = in.unpackInt();
        return switch (kind) {
            case START -> new WorkCommand.Start(
                    readTask(in), in.unpackInt(), in.unpackString(), in.unpackLong(), in.unpackLong());
            case END -> new WorkCommand.End(
                    readTask(in),
                    in.unpackInt(),
                    SpecCodec.readEnum(in, RunEnd.values()),
                    in.unpackString(),
                    in.unpackLong());
            case RECORD_CRASH -> new WorkCommand.RecordCrash(readTask(in), in.unpackInt(), in.unpackLong());
            case SUBMIT -> new WorkCommand.Submit(SpecCodec.readJob(in), SpecCodec.readQueue(in), in.unpackLong());
            case CANCEL -> new WorkCommand.Cancel(in.unpackString(), in.unpackLong());
            case CONFIGURE -> new WorkCommand.Configure(SpecCodec.readRules(in));
            case RECORD_WORKER -> new WorkCommand.RecordWorker(SpecCodec.readWorker(in));
            case DROP_WORKER -> new WorkCommand.DropWorker(in.unpackString(), in.unpackLong());
            case RECORD_INTERFERENCE -> new WorkCommand.RecordInterference(SpecCodec.readPairs(in));
            case REMOVE_JOB -> new WorkCommand.RemoveJob(in.unpackString());
            default -> throw Failure.of(ErrorKind.FRAME_MALFORMED, "unknown command " + kind)
                    .asException();
        };
    }

    static void write(MessagePacker packer, TaskKey task) throws IOException {
        packer.packString(task.jobId())
                .packInt(task.occurrence())
                .packInt(task.step())
                .packInt(task.index());
    }

    static TaskKey readTask(MessageUnpacker in) throws IOException {
        return new TaskKey(in.unpackString(), in.unpackInt(), in.unpackInt(), in.unpackInt());
    }
}
