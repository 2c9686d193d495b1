package org.cornelcove.control.state;

/** Where a claim on an idempotency key stands. */
public enum ClaimState {
    /** Its holder may dispatch the request, or has done so. */
    OPEN,
    /** The request ran; the answer is kept. */
    RECORDED,
    /** The request may or may not have run. */
    UNKNOWN,
    /** Given back unrun; refuses a late copy of the same claim and is free for any other. */
    RELEASED
}
