package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;

import org.cornelcove.model.error.Failure;

/**
 * Output of a member since the last {@link ReplicaCore#drain}: messages to send at once, messages that depend on
 * pending writes, snapshot chunks to read, and events for the caller.
 */
final class Outbox {
    private final CoreOptions options;
    private final long incarnation;
    private List<Outgoing> immediate = new ArrayList<>();
    private List<Outgoing> afterWrites = new ArrayList<>();
    private List<ChunkRead> chunkReads = new ArrayList<>();
    private List<CoreEvent> events = new ArrayList<>();

    Outbox(CoreOptions options, long incarnation) {
        this.options = options;
        this.incarnation = incarnation;
    }

    /** Sends a message at once. */
    void send(MemberRecord to, long toIncarnation, long term, Message body) {
        immediate.add(new Outgoing(to.address(), envelope(to.id(), toIncarnation, term, body)));
    }

    /** Sends a message once every write so far is durable. */
    void sendOnceDurable(MemberRecord to, long term, Message body) {
        afterWrites.add(new Outgoing(to.address(), envelope(to.id(), to.incarnation(), term, body)));
    }

    /** Responds at once. */
    void answer(Envelope request, long term, Message body) {
        immediate.add(responseTo(request, term, body));
    }

    /** Responds once every write so far is durable. */
    void answerOnceDurable(Envelope request, long term, Message body) {
        afterWrites.add(responseTo(request, term, body));
    }

    /** Sends messages that were held until a write was durable. */
    void release(List<Outgoing> held) {
        immediate.addAll(held);
    }

    void readChunk(MemberRecord to, long toIncarnation, long term, Message.SnapshotChunk empty) {
        chunkReads.add(
                new ChunkRead(to.address(), envelope(to.id(), toIncarnation, term, empty), options.chunkBytes()));
    }

    void emit(CoreEvent event) {
        events.add(event);
    }

    void fail(long token, Failure failure) {
        events.add(new CoreEvent.RequestFailed(token, failure));
    }

    /** Returns the messages to send now; those that depend on a pending write are held by the queue. */
    List<Outgoing> takeMessages(DiskQueue disk) {
        disk.holdOrSend(afterWrites, immediate);
        afterWrites = new ArrayList<>();
        List<Outgoing> taken = immediate;
        immediate = new ArrayList<>();
        return taken;
    }

    List<ChunkRead> takeChunkReads() {
        List<ChunkRead> taken = chunkReads;
        chunkReads = new ArrayList<>();
        return taken;
    }

    List<CoreEvent> takeEvents() {
        List<CoreEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    private Outgoing responseTo(Envelope request, long term, Message body) {
        return new Outgoing(request.fromAddress(), envelope(request.from(), request.fromIncarnation(), term, body));
    }

    private Envelope envelope(long to, long toIncarnation, long term, Message body) {
        return new Envelope(options.selfId(), incarnation, options.selfAddress(), to, toIncarnation, term, body);
    }
}
