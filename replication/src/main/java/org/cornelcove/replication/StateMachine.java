package org.cornelcove.replication;

/**
 * The state machine to which committed commands are applied. Must be deterministic: the same commands in the same order
 * produce the same results and the same snapshot on every member. Called by one thread at a time.
 */
public interface StateMachine {
    /**
     * Applies one committed command.
     *
     * @param index the command's log index, higher than that of the previous command
     * @param command the command as proposed
     * @return the result returned to the proposer
     */
    byte[] apply(long index, byte[] command);

    /**
     * Serializes the whole state.
     *
     * @return the state after the last applied command
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot a state returned by {@link #snapshot()}, possibly on another member
     */
    void restore(byte[] snapshot);
}
