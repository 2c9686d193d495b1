package org.cornelcove.entry;

/** Receives the result of a call to a target; exactly one method is called, once. */
interface TargetCallListener {
    /**
     * Called when the complete answer of the target arrived.
     *
     * @param answer the answer
     */
    void onAnswer(TargetAnswer answer);

    /**
     * Called when the call ended before any byte was written.
     *
     * @param why the reason, for traces and error messages
     * @param targetAtFault true if the target could not be reached, false if the deadline passed
     */
    void onNotWritten(String why, boolean targetAtFault);

    /**
     * Called when the request may have been sent and no complete answer arrived.
     *
     * @param why the reason, for traces and error messages
     * @param targetAtFault true if the connection or the answer failed, false if the deadline passed
     */
    void onUnknown(String why, boolean targetAtFault);
}
