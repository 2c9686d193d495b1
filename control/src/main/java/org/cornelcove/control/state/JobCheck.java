package org.cornelcove.control.state;

import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;

/** Validates a job's specification at submission. */
final class JobCheck {
    static final int MAX_PAYLOAD_CHARS = 64 * 1024;

    /** Amounts up to this can be summed over a million attempts without overflow. */
    private static final long MAX_AMOUNT = 1L << 43;

    private JobCheck() {}

    static Optional<Failure> validate(JobSpec spec, RuleSet rules) {
        if (!Names.isName(spec.team())) {
            return invalid(spec, "team '" + spec.team() + "'", "a name");
        }
        if (!rules.teams().isEmpty() && !rules.teams().containsKey(spec.team())) {
            return Optional.of(Failure.of(ErrorKind.TEAM_UNKNOWN, spec.team()));
        }
        if (spec.resources().isNegative() || spec.resources().equals(Resources.NONE) || tooLarge(spec.resources())) {
            return invalid(spec, "resources " + spec.resources(), "positive amounts");
        }
        if (spec.declaredRunMs() < 0) {
            return invalid(spec, "declaredRunMs " + spec.declaredRunMs(), "0 or more");
        }
        if (spec.payload().length() > MAX_PAYLOAD_CHARS) {
            return invalid(
                    spec, "a payload of " + spec.payload().length() + " characters", MAX_PAYLOAD_CHARS + " at most");
        }
        return Optional.empty();
    }

    static boolean tooLarge(Resources amount) {
        return amount.cpuMillicores() > MAX_AMOUNT || amount.memoryBytes() > MAX_AMOUNT;
    }

    private static Optional<Failure> invalid(JobSpec spec, String actual, String expected) {
        return Optional.of(Failure.of(ErrorKind.JOB_INVALID, spec.id(), actual, expected));
    }
}
