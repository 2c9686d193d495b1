package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;

import org.cornelcove.model.error.Failure;

/**
 * What a member has to say since the last {@link ReplicaCore#drain}: messages that may leave at once, messages that rest
 * on what is being written, pieces of the snapshot to read, and events for the caller.
 */
final class Outbox {
    private final CoreOptions options;
    private final long incarnation;
    private List<Outgoing> atOnce = new ArrayList<>();
    private List<Outgoing> onceDurable = new ArrayList<>();
    private List<ChunkRead> chunkReads = new ArrayList<>();
    private List<CoreEvent> events = new ArrayList<>();

    Outbox(CoreOptions options, long incarnation) {
        this.options = options;
        this.incarnation = incarnation;
    }

    /** Sends now. */
    void send(MemberRecord to, long toIncarnation, long term, Message body) {
        atOnce.add(new Outgoing(to.address(), envelope(to.id(), toIncarnation, term, body)));
    }

    /** Sends once everything written so far is durable. */
    void sendOnceDurable(MemberRecord to, long term, Message body) {
        onceDurable.add(new Outgoing(to.address(), envelope(to.id(), to.incarnation(), term, body)));
    }

    /** Answers now. */
    void answer(Envelope request, long term, Message body) {
        atOnce.add(answering(request, term, body));
    }

    /** Answers once everything written so far is durable. */
    void answerOnceDurable(Envelope request, long term, Message body) {
        onceDurable.add(answering(request, term, body));
    }

    /** Sends messages that were held until a write was done. */
    void release(List<Outgoing> held) {
        atOnce.addAll(held);
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

    /** Takes the messages that may leave now; those that rest on a write under way are handed to the queue. */
    List<Outgoing> takeMessages(DiskQueue disk) {
        disk.holdOrSend(onceDurable, atOnce);
        onceDurable = new ArrayList<>();
        List<Outgoing> taken = atOnce;
        atOnce = new ArrayList<>();
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

    private Outgoing answering(Envelope request, long term, Message body) {
        return new Outgoing(request.fromAddress(), envelope(request.from(), request.fromIncarnation(), term, body));
    }

    private Envelope envelope(long to, long toIncarnation, long term, Message body) {
        return new Envelope(options.selfId(), incarnation, options.selfAddress(), to, toIncarnation, term, body);
    }
}
