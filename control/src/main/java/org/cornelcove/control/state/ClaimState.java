package org.cornelcove.control.state;

/** The state of a claim on an idempotency key. */
public enum ClaimState {
    /** Its holder may dispatch the request, or has done so. */
    OPEN,
    /** The request ran; the answer is kept. */
    RECORDED,
    /** The request may or may not have run. */
    UNKNOWN,
    /** Released without a run; a late copy of the same claim is refused, any other claim on the key is granted. */
    RELEASED
}
