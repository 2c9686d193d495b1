package org.cornelcove.work.state;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Damaged log entries and snapshots are decoded or refused with a typed error. */
class CodecFuzzTest {
    private static final int TRIES = 100_000;
    private static final TaskKey TASK = new TaskKey("j", 0, 0, 0);
    private static final TaskKey MEMBER = new TaskKey("g", 1, 0, 1);
    private static final List<WorkCommand> COMMANDS = List.of(
            new WorkCommand.Configure(Steps.RULES),
            new WorkCommand.Submit(Steps.job("j", Steps.plain(2), Steps.plain(1, 0)), Steps.QUEUE, 1000),
            new WorkCommand.Start(TASK, 1, "w", 7, 1000),
            new WorkCommand.RecordCrash(TASK, 1, 1500),
            new WorkCommand.End(TASK, 1, RunEnd.LOST, "saved", 2000),
            new WorkCommand.Submit(Steps.repeated("g", 2, Steps.gang(2)), Steps.QUEUE, 1000),
            new WorkCommand.Start(MEMBER, 1, "w", 7, 1000),
            new WorkCommand.End(MEMBER, 1, RunEnd.FAILED, "", 2000));

    private static byte[] damaged(byte[] valid, long seed) {
        Random random = new Random(seed);
        byte[] bytes = valid.clone();
        for (int damage = random.nextInt(4); damage >= 0; damage--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes;
    }

    private static void assertTyped(Consumer<byte[]> decoder, byte[] bytes) {
        try {
            decoder.accept(bytes);
        } catch (FailureException e) {
            assertThat(e.failure().kind(), is(ErrorKind.FRAME_MALFORMED));
        }
    }

    @Property(seed = "1", tries = TRIES)
    void aDamagedEntryIsDecodedOrRefused(@ForAll long seed) {
        assertTyped(CommandCodec::decode, damaged(CommandCodec.encode(COMMANDS), seed));
    }

    @Property(seed = "1", tries = TRIES)
    void aDamagedSnapshotIsDecodedOrRefused(@ForAll long seed) {
        WorkState state = new WorkState();
        state.apply(1, CommandCodec.encode(COMMANDS));
        assertTyped(new WorkState()::restore, damaged(state.snapshot(), seed));
    }
}
