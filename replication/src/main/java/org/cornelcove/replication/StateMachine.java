package org.cornelcove.replication;

/**
 * What the log is applied to. Deterministic: the same commands in the same order give the same results and the same
 * snapshot on every member. Called by one thread at a time.
 */
public interface StateMachine {
    /**
     * Applies one committed command.
     *
     * @param index the command's log index, rising
     * @param command the command as proposed
     * @return the result handed to the proposer
     */
    byte[] apply(long index, byte[] command);

    /**
     * Writes the whole state.
     *
     * @return the state after the last applied command
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot a state that {@link #snapshot()} gave
     */
    void restore(byte[] snapshot);
}
