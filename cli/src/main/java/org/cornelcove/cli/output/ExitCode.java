package org.cornelcove.cli.output;

import java.util.Comparator;
import java.util.List;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/** The exit codes of {@code cornelcove}. When several failures are reported, the highest code applies. */
public enum ExitCode {
    /** Done. */
    OK(0, "done"),
    /** The rules have faults, or the cluster refused the request. */
    REFUSED(1, "the rules have faults, or the cluster refused the request"),
    /** The command line has a fault. */
    USAGE(2, "the command line has a fault"),
    /** No endpoint could be reached. */
    UNREACHABLE(3, "no endpoint could be reached"),
    /** The control hosts have no quorum, or the endpoint can't reach them. */
    NO_QUORUM(4, "the control hosts have no quorum, or the endpoint can't reach them"),
    /** The configuration is accepted and not yet in force everywhere. */
    NOT_IN_FORCE(5, "the configuration is accepted, but not in force everywhere within --wait-timeout"),
    /** What answers at the endpoint is not the api listener of cornelcoved. */
    NOT_CORNELCOVED(6, "what answers at the endpoint is not the api listener of cornelcoved"),
    /** The answer was lost; the request may have been carried out. */
    OUTCOME_UNKNOWN(7, "the answer was lost; the request may have been carried out"),
    /** A fault of the program. */
    INTERNAL(8, "a fault of cornelcove itself"),
    /** Standard output could not be written; the command was carried out. */
    NOT_SHOWN(9, "standard output could not be written; the command was carried out"),
    /** The answer covers a part of the entries. */
    PARTIAL(10, "the answer is partial; it names the entries that did not answer");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the code.
     *
     * @return the code that the process ends with
     */
    public int code() {
        return code;
    }

    /**
     * Returns what the code means.
     *
     * @return one line for the manual
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the code for a kind of error.
     *
     * @param kind the kind
     * @return the code
     */
    public static ExitCode of(ErrorKind kind) {
        return switch (kind) {
            case USAGE -> USAGE;
            case ENDPOINT_UNREACHABLE -> UNREACHABLE;
            case NO_QUORUM, NOT_LEADER, PEER_UNREACHABLE, CALL_NOT_SENT -> NO_QUORUM;
            case CONFIGURATION_NOT_IN_FORCE -> NOT_IN_FORCE;
            case UNEXPECTED_ANSWER -> NOT_CORNELCOVED;
            case ANSWER_LOST, CALL_TIMEOUT, PROPOSAL_OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
            case INTERNAL -> INTERNAL;
            case OUTPUT_UNWRITABLE -> NOT_SHOWN;
            default -> REFUSED;
        };
    }

    /**
     * Returns the code for several failures.
     *
     * @param failures at least one
     * @return the highest code among them
     */
    public static ExitCode of(List<Failure> failures) {
        return failures.stream()
                .map(failure -> of(failure.kind()))
                .max(Comparator.comparingInt(ExitCode::code))
                .orElse(OK);
    }
}
