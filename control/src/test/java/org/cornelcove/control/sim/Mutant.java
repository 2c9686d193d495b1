package org.cornelcove.control.sim;

/** One deliberate fault of the system, with which the checkers are shown to be able to fail. */
enum Mutant {
    /** The system as it is. */
    NONE,
    /** A leader answers without asking its quorum. */
    NO_BARRIER,
    /** A leader waits for a tenth of each lease. */
    SHORT_WAIT,
    /** A worker runs on after its lease. */
    LEASE_IGNORED,
    /** A cancellation frees the host at once. */
    FREED_ON_CANCEL,
    /** The end of an evicted attempt carries no checkpoint, and none is recorded. */
    CHECKPOINT_DROPPED,
    /** Each claim is made under a key of its own. */
    NO_CLAIM,
    /** A release frees whatever grant of the key is open. */
    RELEASE_OF_ANY_GRANT,
    /** An entry keeps the targets that a change of its list takes away. */
    WITHDRAWALS_IGNORED,
    /** The end of an attempt whose worker was lost is never committed. */
    LOST_NEVER_ENDED,
    /** Proposals are numbered anew, so that a resend is taken for a new one. */
    PROPOSALS_RENUMBERED
}
