package org.cornelcove.replication;

/** Carries messages between members. May lose, delay, repeat and reorder them; never alters them. */
public interface PeerTransport {
    /**
     * Sends a message without waiting; lost when the member can't be reached.
     *
     * @param to the receiving member's address, {@code ip:port}
     * @param message the encoded message
     */
    void send(String to, byte[] message);
}
