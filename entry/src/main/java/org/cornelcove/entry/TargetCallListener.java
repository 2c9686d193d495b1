package org.cornelcove.entry;

/** Hears the end of a call to a target; exactly one method is called, once. */
interface TargetCallListener {
    /**
     * The target's whole answer arrived.
     *
     * @param answer the answer
     */
    void onAnswer(TargetAnswer answer);

    /**
     * Not a byte was written.
     *
     * @param why what happened
     * @param targetAtFault whether the target could not be reached, rather than the caller's time being over
     */
    void onNotWritten(String why, boolean targetAtFault);

    /**
     * Bytes were written and no whole answer came.
     *
     * @param why what happened
     * @param targetAtFault whether the target broke off, rather than the caller's time being over
     */
    void onUnknown(String why, boolean targetAtFault);
}
