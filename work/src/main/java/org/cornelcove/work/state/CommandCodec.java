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
    private static final int FORGET = 6;
    private static final int HELLO = 7;
    private static final int FAREWELL = 8;
    private static final int LEARNED = 9;

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
                    .packLong(start.born())
                    .packLong(start.atMs());
        } else if (command instanceof WorkCommand.End end) {
            packer.packInt(END);
            write(packer, end.task());
            packer.packInt(end.runId())
                    .packInt(end.how().ordinal())
                    .packString(end.checkpoint())
                    .packLong(end.atMs());
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
        } else if (command instanceof WorkCommand.Learned learned) {
            packer.packInt(LEARNED);
            SpecCodec.writePairs(packer, learned.pairs());
        } else if (command instanceof WorkCommand.Hello hello) {
            packer.packInt(HELLO);
            SpecCodec.writeWorker(packer, hello.worker());
        } else if (command instanceof WorkCommand.Farewell farewell) {
            packer.packInt(FAREWELL).packString(farewell.worker()).packLong(farewell.bornMs());
        } else if (command instanceof WorkCommand.Forget forget) {
            packer.packInt(FORGET).packString(forget.jobId());
        }
    }

    private static WorkCommand read(MessageUnpacker in) throws IOException {
        int kind = in.unpackInt();
        return switch (kind) {
            case START -> new WorkCommand.Start(
                    readTask(in), in.unpackInt(), in.unpackString(), in.unpackLong(), in.unpackLong());
            case END -> new WorkCommand.End(
                    readTask(in), in.unpackInt(), RunEnd.values()[in.unpackInt()], in.unpackString(), in.unpackLong());
            case SUBMIT -> new WorkCommand.Submit(SpecCodec.readJob(in), SpecCodec.readQueue(in), in.unpackLong());
            case CANCEL -> new WorkCommand.Cancel(in.unpackString(), in.unpackLong());
            case CONFIGURE -> new WorkCommand.Configure(SpecCodec.readRules(in));
            case HELLO -> new WorkCommand.Hello(SpecCodec.readWorker(in));
            case FAREWELL -> new WorkCommand.Farewell(in.unpackString(), in.unpackLong());
            case LEARNED -> new WorkCommand.Learned(SpecCodec.readPairs(in));
            case FORGET -> new WorkCommand.Forget(in.unpackString());
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
