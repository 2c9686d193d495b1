package org.cornelcove.wire;

import java.io.IOException;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The content of one frame: a MessagePack array of kind, call id, name and body.
 *
 * @param kind request, answer, failure or notice
 * @param callId matches an answer with its request on one connection; 0 for a notice
 * @param name the call's name on requests and notices, empty otherwise
 * @param body the encoded message, or the encoded failure
 */
record Envelope(Kind kind, long callId, String name, byte[] body) {
    /** The name of the call that every server answers at once, without a handler. */
    static final String PING = "ping";

    private static final int FIELD_COUNT = 4;

    /** The kind of an envelope; its ordinal is its number on the wire. */
    enum Kind {
        /** Asks for an answer. */
        REQUEST,
        /** Answers a request. */
        ANSWER,
        /** Answers a request with a failure. */
        FAILURE,
        /** Asks for no answer. */
        NOTICE
    }

    static Envelope request(long callId, String name, byte[] body) {
        return new Envelope(Kind.REQUEST, callId, name, body);
    }

    static Envelope answer(long callId, byte[] body) {
        return new Envelope(Kind.ANSWER, callId, "", body);
    }

    static Envelope failure(long callId, Failure failure) {
        return new Envelope(Kind.FAILURE, callId, "", Codec.encode(failure));
    }

    static Envelope notice(String name, byte[] body) {
        return new Envelope(Kind.NOTICE, 0, name, body);
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packInt(kind.ordinal());
            packer.packLong(callId);
            packer.packString(name);
            packer.packBinaryHeader(body.length);
            packer.addPayload(body);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    static Envelope decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            if (unpacker.unpackArrayHeader() != FIELD_COUNT) {
                throw malformed("not an envelope");
            }
            Kind kind = kindOf(unpacker.unpackInt());
            long callId = unpacker.unpackLong();
            String name = unpacker.unpackString();
            int length = unpacker.unpackBinaryHeader();
            if (length > frame.length) {
                throw malformed("body longer than its frame");
            }
            return new Envelope(kind, callId, name, unpacker.readPayload(length));
        } catch (IOException | MessagePackException e) {
            throw malformed(String.valueOf(e.getMessage()));
        }
    }

    private static Kind kindOf(int number) {
        Kind[] kinds = Kind.values();
        if (number < 0 || number >= kinds.length) {
            throw malformed("unknown kind " + number);
        }
        return kinds[number];
    }

    private static RuntimeException malformed(String reason) {
        return Failure.of(ErrorKind.FRAME_MALFORMED, reason).asException();
    }
}
