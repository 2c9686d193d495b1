package org.cornelcove.replication.core;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages and memberships in MessagePack, field by field because each replicated entry passes here. */
public final class MessageCodec {
    private static final int PRE_VOTE_REQUEST = 1;
    private static final int PRE_VOTE_RESPONSE = 2;
    private static final int VOTE_REQUEST = 3;
    private static final int VOTE_RESPONSE = 4;
    private static final int APPEND_REQUEST = 5;
    private static final int APPEND_RESPONSE = 6;
    private static final int SNAPSHOT_CHUNK = 7;
    private static final int SNAPSHOT_RESPONSE = 8;
    private static final int TRANSFER_LEADERSHIP = 9;
    private static final int MEMBER_RETIRED = 10;
    private static final EntryKind[] ENTRY_KINDS = EntryKind.values();

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param envelope the message
     * @return the encoded form
     */
    public static byte[] encode(Envelope envelope) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(envelope.from()).packLong(envelope.fromIncarnation()).packString(envelope.fromAddress());
            out.packLong(envelope.to()).packLong(envelope.toIncarnation()).packLong(envelope.term());
            packBody(out, envelope.body());
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a message. Throws a {@code FailureException} of kind {@code FRAME_MALFORMED} on malformed input.
     *
     * @param bytes the encoded form
     * @return the message
     */
    public static Envelope decode(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return new Envelope(
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackLong(),
                    unpackBody(in, bytes.length));
        } catch (IOException | MessagePackException e) {
            throw malformed(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Encodes a membership.
     *
     * @param membership the membership
     * @return the encoded form
     */
    public static byte[] encodeMembership(Membership membership) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(membership.members().size());
            for (MemberRecord member : membership.members()) {
                out.packLong(member.id()).packString(member.address());
                out.packBoolean(member.voting()).packLong(member.incarnation());
            }
            out.packArrayHeader(membership.retired().size());
            for (long id : membership.retired()) {
                out.packLong(id);
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a membership. Throws a {@code FailureException} of kind {@code FRAME_MALFORMED} on malformed input.
     *
     * @param bytes the encoded form
     * @return the membership
     */
    public static Membership decodeMembership(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            List<MemberRecord> members = new ArrayList<>();
            for (int n = in.unpackArrayHeader(); n > 0; n--) {
                members.add(new MemberRecord(in.unpackLong(), in.unpackString(), in.unpackBoolean(), in.unpackLong()));
            }
            TreeSet<Long> retired = new TreeSet<>();
            for (int n = in.unpackArrayHeader(); n > 0; n--) {
                retired.add(in.unpackLong());
            }
            return new Membership(List.copyOf(members), retired);
        } catch (IOException | MessagePackException e) {
            throw malformed(String.valueOf(e.getMessage()));
        }
    }

    private static void packBody(MessageBufferPacker out, Message body) throws IOException {
        if (body instanceof Message.AppendRequest m) {
            packAppend(out, m);
        } else if (body instanceof Message.AppendResponse m) {
            out.packInt(APPEND_RESPONSE).packBoolean(m.success()).packLong(m.index());
            out.packLong(m.prevIndex()).packLong(m.round()).packLong(m.sentMs());
        } else if (body instanceof Message.PreVoteRequest m) {
            out.packInt(PRE_VOTE_REQUEST).packLong(m.lastIndex()).packLong(m.lastTerm());
        } else if (body instanceof Message.PreVoteResponse m) {
            out.packInt(PRE_VOTE_RESPONSE).packBoolean(m.granted());
        } else if (body instanceof Message.VoteRequest m) {
            out.packInt(VOTE_REQUEST).packLong(m.lastIndex()).packLong(m.lastTerm());
            out.packBoolean(m.transfer());
        } else if (body instanceof Message.VoteResponse m) {
            out.packInt(VOTE_RESPONSE).packBoolean(m.granted());
        } else if (body instanceof Message.SnapshotChunk m) {
            packChunk(out, m);
        } else if (body instanceof Message.SnapshotResponse m) {
            out.packInt(SNAPSHOT_RESPONSE).packLong(m.snapshotIndex()).packLong(m.nextOffset());
            out.packLong(m.round()).packLong(m.sentMs());
        } else {
            out.packInt(body instanceof Message.TransferLeadership ? TRANSFER_LEADERSHIP : MEMBER_RETIRED);
        }
    }

    private static void packAppend(MessageBufferPacker out, Message.AppendRequest m) throws IOException {
        out.packInt(APPEND_REQUEST).packLong(m.prevIndex()).packLong(m.prevTerm());
        out.packLong(m.commitIndex()).packLong(m.round()).packLong(m.sentMs());
        out.packArrayHeader(m.entries().size());
        for (LogEntry entry : m.entries()) {
            out.packLong(entry.term()).packInt(entry.kind().ordinal());
            out.packBinaryHeader(entry.payload().length).addPayload(entry.payload());
        }
    }

    private static void packChunk(MessageBufferPacker out, Message.SnapshotChunk m) throws IOException {
        out.packInt(SNAPSHOT_CHUNK).packLong(m.snapshotIndex()).packLong(m.snapshotTerm());
        out.packLong(m.offset()).packBoolean(m.last()).packLong(m.round()).packLong(m.sentMs());
        out.packBinaryHeader(m.data().length).addPayload(m.data());
    }

    private static Message unpackBody(MessageUnpacker in, int messageBytes) throws IOException {
        int type = in.unpackInt();
        return switch (type) {
            case PRE_VOTE_REQUEST -> new Message.PreVoteRequest(in.unpackLong(), in.unpackLong());
            case PRE_VOTE_RESPONSE -> new Message.PreVoteResponse(in.unpackBoolean());
            case VOTE_REQUEST -> new Message.VoteRequest(in.unpackLong(), in.unpackLong(), in.unpackBoolean());
            case VOTE_RESPONSE -> new Message.VoteResponse(in.unpackBoolean());
            case APPEND_REQUEST -> unpackAppend(in, messageBytes);
            case APPEND_RESPONSE -> new Message.AppendResponse(
                    in.unpackBoolean(), in.unpackLong(), in.unpackLong(), in.unpackLong(), in.unpackLong());
            case SNAPSHOT_CHUNK -> new Message.SnapshotChunk(
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackLong(),
                    in.unpackBoolean(),
                    in.unpackLong(),
                    in.unpackLong(),
                    unpackBytes(in, messageBytes));
            case SNAPSHOT_RESPONSE -> new Message.SnapshotResponse(
                    in.unpackLong(), in.unpackLong(), in.unpackLong(), in.unpackLong());
            case TRANSFER_LEADERSHIP -> new Message.TransferLeadership();
            case MEMBER_RETIRED -> new Message.MemberRetired();
            default -> throw malformed("unknown message type " + type);
        };
    }

    private static Message unpackAppend(MessageUnpacker in, int messageBytes) throws IOException {
        long prevIndex = in.unpackLong();
        long prevTerm = in.unpackLong();
        long commitIndex = in.unpackLong();
        long round = in.unpackLong();
        long sentMs = in.unpackLong();
        List<LogEntry> entries = new ArrayList<>();
        int count = in.unpackArrayHeader();
        for (int i = 1; i <= count; i++) {
            entries.add(new LogEntry(
                    prevIndex + i, in.unpackLong(), unpackKind(in.unpackInt()), unpackBytes(in, messageBytes)));
        }
        return new Message.AppendRequest(prevIndex, prevTerm, commitIndex, round, sentMs, entries);
    }

    private static byte[] unpackBytes(MessageUnpacker in, int messageBytes) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length > messageBytes) {
            throw malformed("payload of " + length + " bytes in a message of " + messageBytes);
        }
        return in.readPayload(length);
    }

    private static EntryKind unpackKind(int ordinal) {
        if (ordinal < 0 || ordinal >= ENTRY_KINDS.length) {
            throw malformed("unknown entry kind " + ordinal);
        }
        return ENTRY_KINDS[ordinal];
    }

    private static RuntimeException malformed(String detail) {
        return Failure.of(ErrorKind.FRAME_MALFORMED, detail).asException();
    }
}
