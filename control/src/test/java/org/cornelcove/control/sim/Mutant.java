package org.cornelcove.control.sim;

/** A deliberate fault of the system, to verify that a checker detects it. */
enum Mutant {
    /** The unmodified system. */
    NONE,
    /** A leader answers without a read barrier from its quorum. */
    NO_BARRIER,
    /** A leader waits for a tenth of each lease. */
    SHORT_WAIT,
    /** A worker continues to run attempts after its lease expired. */
    LEASE_IGNORED,
    /** A cancellation frees the host immediately. */
    FREED_ON_CANCEL,
    /** The end of an evicted attempt carries no checkpoint, and none is recorded. */
    CHECKPOINT_DROPPED,
    /** Each claim uses a different key. */
    NO_CLAIM,
    /** A release frees any open grant of the key, not only its own. */
    RELEASE_OF_ANY_GRANT,
    /** An entry keeps the targets that are withdrawn from its list. */
    WITHDRAWALS_IGNORED,
    /** The end of an attempt whose worker was lost is never committed. */
    LOST_NEVER_ENDED,
    /** Proposals are renumbered, so that a resend is treated as a new proposal. */
    PROPOSALS_RENUMBERED
}
