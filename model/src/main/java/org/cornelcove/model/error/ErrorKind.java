package org.cornelcove.model.error;

/**
 * Every kind of error in the system: its number, which never changes, its severity, and the template of its message,
 * which describes what happened and the remedy. Numbers are grouped by hundreds, one group for each part of the system.
 */
public enum ErrorKind {
    // Rules
    RULES_FOLDER_UNREADABLE(
            101, Severity.ERROR, "can't read the rules folder %s: %s; check the path and its permissions"),
    RULES_SYNTAX(102, Severity.ERROR, "%s:%s: not valid YAML: %s; mend the line"),
    RULES_UNKNOWN_KEY(103, Severity.ERROR, "%s:%s: unknown key '%s'; known here are %s"),
    RULES_DUPLICATE_NAME(
            104,
            Severity.ERROR,
            "%s:%s: '%s' stands twice in this file; keep one, or move the override to a later file"),
    RULES_BAD_VALUE(105, Severity.ERROR, "%s:%s: '%s' is not usable for %s; give %s"),
    RULES_FILE_UNREADABLE(106, Severity.ERROR, "can't read %s: %s; check the file and its permissions"),
    RULES_TOO_LARGE(107, Severity.ERROR, "%s is over %s bytes; split it into smaller files"),
    RULES_NOTHING_TO_WITHDRAW(
            108,
            Severity.ERROR,
            "%s:%s: no earlier file gives '%s'; remove the withdrawal, or name this file so that it sorts after the rule's"),
    RULES_PREFIX_OVERLAP(
            109,
            Severity.ERROR,
            "%s:%s: service '%s' claims the path prefix %s, which service '%s' of %s:%s claims too; change one of them"),
    RULES_KEY_MISSING(110, Severity.ERROR, "%s:%s: %s lacks the key '%s'; add it"),
    RULES_ANCHOR(111, Severity.ERROR, "%s:%s: anchors and aliases are not taken; write the value out"),
    RULES_FILE_NAME(112, Severity.ERROR, "%s would not be read; rename it to end in .yaml"),
    RULES_FOLDER_TOO_LARGE(
            113, Severity.ERROR, "%s holds more than %s of rules; remove files that are no longer needed"),
    RULES_MORE_FAULTS(114, Severity.ERROR, "%s has %s more faults than are shown; mend those first"),
    // Settings
    SETTING_MISSING(201, Severity.FATAL, "--%s is not set; give it, or set %s"),
    SETTING_INVALID(202, Severity.FATAL, "--%s: '%s' is not usable: %s; give %s"),
    PORT_UNAVAILABLE(203, Severity.FATAL, "can't listen on %s: %s; free the port or choose another"),
    // Calls between processes
    PEER_UNREACHABLE(301, Severity.ERROR, "can't reach %s: %s; check that it runs and that the address is right"),
    CALL_TIMEOUT(
            302,
            Severity.ERROR,
            "no answer from %s within %s ms; the outcome is unknown, ask again with the same identifier"),
    FRAME_TOO_LARGE(303, Severity.ERROR, "a frame of %s bytes is over the limit of %s; send less at once"),
    FRAME_MALFORMED(304, Severity.ERROR, "malformed frame: %s; check that both ends run the same version"),
    METHOD_UNKNOWN(305, Severity.ERROR, "no such method '%s'; check that both ends run the same version"),
    INTERNAL(306, Severity.ERROR, "unexpected failure: %s; see the log of the process that answered"),
    CALL_NOT_SENT(307, Severity.ERROR, "nothing was sent to %s: %s; it is safe to ask again"),
    // The replicated log
    NOT_LEADER(401, Severity.WARNING, "this control host does not lead; ask %s"),
    NO_QUORUM(402, Severity.ERROR, "no quorum among the control hosts; start the missing ones or replace them"),
    PROPOSAL_OUTCOME_UNKNOWN(
            403,
            Severity.ERROR,
            "leadership changed before the command was decided; ask again with the same identifier"),
    LOG_DAMAGED(
            404,
            Severity.FATAL,
            "the log is damaged at %s offset %s: %s; move the data folder away and rejoin as a new member"),
    STORAGE_FAILED(
            405,
            Severity.FATAL,
            "can't write to the data folder: %s; mend the disk, then rejoin as a new member if files were lost"),
    MEMBERSHIP_CHANGE_PENDING(
            406, Severity.WARNING, "another membership change is under way; wait until 'members' shows it done"),
    MEMBER_UNKNOWN(407, Severity.ERROR, "no member %s; 'members' lists them"),
    MEMBER_RETIRED(408, Severity.FATAL, "member id %s was removed or lost its disk; rejoin under a new id"),
    SNAPSHOT_DAMAGED(
            409, Severity.FATAL, "snapshot %s is damaged: %s; move the data folder away and rejoin as a new member"),
    // Durable state
    CONFIGURATION_STALE(
            501,
            Severity.ERROR,
            "change number %s is not above the newest, %s; read the current rules and propose again with a higher number"),
    CONFIGURATION_CONFLICT(
            502,
            Severity.ERROR,
            "change number %s was taken with other content, digest %s; read it with 'diff' and propose under a higher number"),
    JOB_CONFLICT(503, Severity.ERROR, "job %s exists with another specification; choose another id"),
    JOB_UNKNOWN(504, Severity.ERROR, "no job %s; 'job list' shows those that exist"),
    JOB_ALREADY_ENDED(505, Severity.WARNING, "job %s has ended as %s; nothing was changed"),
    ATTEMPT_STALE(506, Severity.WARNING, "attempt %s is not the current one; nothing was changed"),
    HOST_UNKNOWN(507, Severity.ERROR, "no worker %s; it must announce itself first"),
    HOST_FULL(508, Severity.WARNING, "attempt %s does not fit on %s; place it elsewhere"),
    QUOTA_EXCEEDED(509, Severity.WARNING, "team %s has no quota left for %s; raise it in the rules or wait"),
    JOB_NEVER_FITS(510, Severity.ERROR, "job %s asks for more than any worker holds; ask for less"),
    ENTRY_FENCED(
            511,
            Severity.ERROR,
            "entry %s was started again since, or this host's clock was set back; stop this process, set the clock "
                    + "right, and start one process with this name"),
    CLAIM_NOT_HELD(512, Severity.ERROR, "the claim on %s is not held by this start of %s; nothing was changed"),
    KEY_REUSED(513, Severity.ERROR, "idempotency key '%s' was used with other content; choose a new key"),
    JOB_INVALID(514, Severity.ERROR, "job '%s' is not usable: %s; give %s"),
    TEAM_UNKNOWN(515, Severity.ERROR, "no team '%s' in the rules; add it or name another"),
    WORKER_FENCED(516, Severity.ERROR, "worker %s was started again since; this process must no longer run anything"),
    WORKER_BUSY(517, Severity.WARNING, "worker %s still holds %s attempts; wait until they have ended"),
    ENTRY_UNKNOWN(
            518, Severity.ERROR, "no live entry %s; 'status' shows the entries, start it or wait for its heartbeat"),
    LEDGER_FULL(519, Severity.ERROR, "the ledger holds %s claims; retry once older ones have expired"),
    RANGE_UNKNOWN(520, Severity.ERROR, "no key range %s; give one from 0 to %s"),
    CONFIGURATION_INVALID(521, Severity.ERROR, "the proposed rules are not usable: %s; run 'check' on the folder"),
    JOB_RUNNABLE(522, Severity.WARNING, "job %s can run on %s; nothing was changed"),
    COMMAND_INVALID(523, Severity.ERROR, "the command is not usable: %s is missing; check that both ends agree"),
    LEADER_STARTING(
            524,
            Severity.WARNING,
            "this control host has just become the leader and is still collecting announcements; ask again with the next heartbeat"),
    CONFIGURATION_DIGEST_WRONG(
            525,
            Severity.ERROR,
            "the digest %s does not belong to these rules, theirs is %s; propose with 'cornelcove apply'"),
    // The users' platform
    PLATFORM_MALFORMED(801, Severity.ERROR, "the body can't be read: %s; send it as the platform's pages say"),
    PLATFORM_RULES_INVALID(802, Severity.ERROR, "the configuration is not usable: %s; mend it and send it again"),
    PLATFORM_SETTINGS_UNREADABLE(
            803, Severity.FATAL, "can't read the settings file %s: %s; check the path and the file"),
    // Requests
    SERVICE_UNKNOWN(601, Severity.ERROR, "no service for path %s; add a rule with this path prefix"),
    BODY_TOO_LARGE(602, Severity.ERROR, "the body is over %s bytes; send less or raise maxBodyBytes"),
    HEADER_INVALID(603, Severity.ERROR, "header %s: '%s' is not usable; give %s"),
    KEY_MISSING(
            604, Severity.ERROR, "a request of class once needs the header %s; add one that is new for each action"),
    QUEUE_FULL(605, Severity.WARNING, "the queue of %s is full; come back after %s s"),
    DEADLINE_UNREACHABLE(
            606,
            Severity.WARNING,
            "the request would wait %s ms, longer than its deadline allows; come back after %s s"),
    NO_TARGET(607, Severity.WARNING, "no target of %s is available; come back after %s s"),
    ENTRY_NOT_READY(
            608, Severity.WARNING, "this entry takes no requests now: %s; come back after %s s or ask another entry"),
    KEY_IN_FLIGHT(609, Severity.WARNING, "a request with key '%s' is running; come back after %s s"),
    OUTCOME_UNKNOWN(
            610, Severity.ERROR, "the request may have run; look up its effect before you send it under a new key"),
    NOT_RUN(611, Severity.WARNING, "the request was not run: %s; it is safe to send it again after %s s"),
    DEADLINE_PASSED(612, Severity.ERROR, "the deadline passed while the request ran; its outcome is unknown"),
    TARGET_ANSWER_TOO_LARGE(
            613, Severity.ERROR, "the target's answer is over %s bytes; raise the limit or answer less"),
    ANNOUNCEMENT_INVALID(614, Severity.ERROR, "announcement not usable: %s; see the protocol page"),
    REQUEST_UNKNOWN(
            615,
            Severity.ERROR,
            "no live entry knows request %s; check the id, and ask while the request is among the newest of its entry"),
    KEY_UNCHECKED(
            616,
            Severity.WARNING,
            "whether the request's key ran before can't be looked up now: %s; send it again with the same key after %s s"),
    // Command line
    ENDPOINT_UNREACHABLE(701, Severity.ERROR, "can't reach %s: %s; check --endpoint and that the daemon runs"),
    UNEXPECTED_ANSWER(702, Severity.ERROR, "%s does not answer like cornelcoved: %s; check the port"),
    USAGE(703, Severity.ERROR, "%s; see --help"),
    ANSWER_LOST(
            704,
            Severity.ERROR,
            "the answer of %s was lost: %s; the outcome is unknown, run the same command again or look with 'status'"),
    CONFIGURATION_NOT_IN_FORCE(
            705,
            Severity.WARNING,
            "version %s is accepted but after %s not yet in force at %s; see 'status' and 'apply --wait' again"),
    OUTPUT_UNWRITABLE(
            706,
            Severity.ERROR,
            "can't write standard output; the command was carried out: free the disk, or ask again with a reading command");

    private final int number;
    private final Severity severity;
    private final String template;

    ErrorKind(int number, Severity severity, String template) {
        this.number = number;
        this.severity = severity;
        this.template = template;
    }

    /**
     * Returns the number under which the error is documented.
     *
     * @return the number, unique and the same in every version
     */
    public int number() {
        return number;
    }

    /**
     * Returns the severity of the error.
     *
     * @return the severity, which does not depend on the message's arguments
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Formats the message.
     *
     * @param arguments one for each placeholder of the template
     * @return the message in one line, without the number
     */
    public String message(Object... arguments) {
        return String.format(template, arguments);
    }
}
