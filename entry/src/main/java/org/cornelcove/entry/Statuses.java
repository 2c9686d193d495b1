package org.cornelcove.entry;

import org.cornelcove.model.error.ErrorKind;

/** The HTTP status of each kind of error in answers to callers, targets and operators. */
public final class Statuses {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int INTERNAL_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private Statuses() {}

    /**
     * Returns the status of a kind: 4xx where the client has to change something, 503 where it may retry, 502 and
     * 504 where the outcome is unknown, 500 for all other kinds.
     *
     * @param kind the kind of error
     * @return the HTTP status
     */
    public static int of(ErrorKind kind) {
        return switch (kind) {
            case HEADER_INVALID, KEY_MISSING, ANNOUNCEMENT_INVALID, JOB_INVALID, TEAM_UNKNOWN -> BAD_REQUEST;
            case SERVICE_UNKNOWN, JOB_UNKNOWN, HOST_UNKNOWN, MEMBER_UNKNOWN -> NOT_FOUND;
            case BODY_TOO_LARGE -> CONTENT_TOO_LARGE;
            case KEY_REUSED -> UNPROCESSABLE;
            case KEY_IN_FLIGHT,
                    CONFIGURATION_STALE,
                    CONFIGURATION_CONFLICT,
                    JOB_CONFLICT,
                    JOB_ALREADY_ENDED,
                    JOB_NEVER_FITS,
                    QUOTA_EXCEEDED,
                    MEMBERSHIP_CHANGE_PENDING,
                    MEMBER_RETIRED,
                    ATTEMPT_STALE,
                    HOST_FULL,
                    ENTRY_FENCED,
                    CLAIM_NOT_HELD -> CONFLICT;
            case QUEUE_FULL, DEADLINE_UNREACHABLE -> TOO_MANY_REQUESTS;
            case NO_TARGET,
                    KEY_UNCHECKED,
                    ENTRY_NOT_READY,
                    NOT_RUN,
                    NOT_LEADER,
                    NO_QUORUM,
                    CALL_NOT_SENT,
                    PEER_UNREACHABLE -> UNAVAILABLE;
            case OUTCOME_UNKNOWN, TARGET_ANSWER_TOO_LARGE -> BAD_GATEWAY;
            case DEADLINE_PASSED, CALL_TIMEOUT, PROPOSAL_OUTCOME_UNKNOWN -> GATEWAY_TIMEOUT;
            default -> INTERNAL_ERROR;
        };
    }
}
