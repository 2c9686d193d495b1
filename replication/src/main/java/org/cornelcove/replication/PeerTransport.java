package org.cornelcove.replication;

/** Carries messages between members. May lose, delay, duplicate and reorder them; never alters them. */
public interface PeerTransport {
    /**
     * Sends a message without blocking; the message is dropped if the member can't be reached.
     *
     * @param to the receiving member's address, {@code ip:port}
     * @param message the encoded message
     */
    void send(String to, byte[] message);
}
