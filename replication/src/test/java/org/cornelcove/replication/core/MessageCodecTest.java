package org.cornelcove.replication.core;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class MessageCodecTest {
    static Stream<Message> messages() {
        LogEntry entry = new LogEntry(8, 2, EntryKind.COMMAND, new byte[] {1, 2, 3});
        return Stream.of(
                new Message.PreVoteRequest(1, 2),
                new Message.PreVoteResponse(true),
                new Message.VoteRequest(1, 2, true),
                new Message.VoteResponse(false),
                new Message.AppendRequest(7, 1, 6, 5, 4, List.of(entry)),
                new Message.AppendResponse(true, 1, 2, 3, 4),
                new Message.SnapshotChunk(1, 2, 3, true, 4, 5, new byte[] {9}),
                new Message.SnapshotResponse(1, 2, 3, 4),
                new Message.TransferLeadership(),
                new Message.MemberRetired());
    }

    private static byte[] encode(Message message) {
        return MessageCodec.encode(new Envelope(1, 2, "127.0.0.1:3", 4, 5, 6, message));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void encodedMessagesRoundTrip(Message message) {
        byte[] bytes = encode(message);
        Envelope decoded = MessageCodec.decode(bytes);
        assertThat(MessageCodec.encode(decoded), is(bytes));
        assertThat(decoded.body().getClass(), is((Object) message.getClass()));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void truncatedMessagesFailWithTypedError(Message message) {
        byte[] bytes = encode(message);
        for (int length = 0; length < bytes.length; length++) {
            decodesOrFailsTyped(Arrays.copyOf(bytes, length));
        }
    }

    @Property(seed = "1", tries = 5000)
    void arbitraryBytesDecodeOrFailWithTypedError(@ForAll byte[] noise, @ForAll int at) {
        decodesOrFailsTyped(noise);
        byte[] bytes = encode(messages().toList().get(Math.floorMod(at, 10)));
        for (int i = 0; i < noise.length; i++) {
            bytes[Math.floorMod(at + i, bytes.length)] = noise[i];
        }
        decodesOrFailsTyped(bytes);
    }

    private static void decodesOrFailsTyped(byte[] bytes) {
        try {
            MessageCodec.decode(bytes);
        } catch (FailureException e) {
            assertThat(e.failure().kind(), is(ErrorKind.FRAME_MALFORMED));
        }
    }
}
