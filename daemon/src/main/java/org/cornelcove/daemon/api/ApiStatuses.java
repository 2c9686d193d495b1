package org.cornelcove.daemon.api;

import org.cornelcove.model.error.ErrorKind;

/** Maps kinds of errors to the HTTP status codes of the api listener. */
final class ApiStatuses {
    private ApiStatuses() {}

    static int of(ErrorKind kind) {
        return switch (kind) {
            case JOB_UNKNOWN, HOST_UNKNOWN, MEMBER_UNKNOWN, METHOD_UNKNOWN, ENTRY_UNKNOWN, REQUEST_UNKNOWN -> 404;
            case CONFIGURATION_CONFLICT,
                    CONFIGURATION_STALE,
                    JOB_CONFLICT,
                    JOB_ALREADY_ENDED,
                    MEMBERSHIP_CHANGE_PENDING,
                    MEMBER_RETIRED -> 409;
            case BODY_TOO_LARGE, FRAME_TOO_LARGE -> 413;
            case CONFIGURATION_DIGEST_WRONG,
                    ANNOUNCEMENT_INVALID,
                    JOB_INVALID,
                    TEAM_UNKNOWN,
                    JOB_NEVER_FITS,
                    HEADER_INVALID -> 400;
            case NO_QUORUM, NOT_LEADER, PEER_UNREACHABLE, CALL_NOT_SENT, ENTRY_NOT_READY -> 503;
            case CALL_TIMEOUT, PROPOSAL_OUTCOME_UNKNOWN -> 504;
            default -> 500;
        };
    }
}
