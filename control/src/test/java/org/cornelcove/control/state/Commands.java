package org.cornelcove.control.state;

import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimInProgress;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.ClaimUnknown;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.RegisterEntry;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.request.RecordedAnswer;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.wire.Codec;

/** Short forms of commands and outcomes for tests. */
final class Commands {
    static final int MAX_ATTEMPTS = 2;

    private Commands() {}

    static JobSpec spec(String job, long cpuMillicores) {
        return spec(job, "red", JobKind.BATCH, cpuMillicores);
    }

    static JobSpec spec(String job, String team, JobKind kind, long cpuMillicores) {
        return new JobSpec(
                JobId.of(job), team, kind, "cut", Resources.of(cpuMillicores, 10, 0), 1_000, false, "payload");
    }

    static Command submit(String job, long cpuMillicores) {
        return new SubmitJob(spec(job, cpuMillicores));
    }

    static Command place(String job, int attempt, String host) {
        return new PlaceAttempt(attempt(job, attempt), HostId.of(host));
    }

    static Command end(String job, int attempt, AttemptEnd end, String checkpoint) {
        return new EndAttempt(attempt(job, attempt), end, optional(checkpoint), end == AttemptEnd.FAILED ? "why" : "");
    }

    static AttemptId attempt(String job, int number) {
        return AttemptId.of(JobId.of(job), number);
    }

    static Optional<String> optional(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }

    static Command worker(String host, long incarnation, long cpuMillicores) {
        return new RegisterWorker(HostId.of(host), incarnation, "z", "r", Resources.of(cpuMillicores, 100, 0));
    }

    static Command entry(String entry, long incarnation) {
        return new RegisterEntry(EntryId.of(entry), incarnation);
    }

    static Command claim(String key, String digest, String entry, long incarnation) {
        return claim(key, digest, entry, incarnation, 1);
    }

    static Command claim(String key, String digest, String entry, long incarnation, long claimNumber) {
        return new ClaimOnce(key, digest, EntryId.of(entry), incarnation, claimNumber);
    }

    static Command release(String key, String entry, long incarnation, long claimNumber) {
        return new ReleaseClaim(key, EntryId.of(entry), incarnation, claimNumber);
    }

    static Command record(String key, String entry, long incarnation, int status) {
        Optional<RecordedAnswer> answer =
                status == 0 ? Optional.empty() : Optional.of(RecordedAnswer.of(status, "", new byte[] {1}));
        return new RecordOutcome(key, EntryId.of(entry), incarnation, answer);
    }

    static Command propose(long changeNumber, String digest, long quotaMillicores) {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        if (quotaMillicores > 0) {
            teams.put("red", new TeamRule("red", Resources.of(quotaMillicores, 1_000, 9), 1));
        }
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, new BatchRule(0, 1, MAX_ATTEMPTS, 10));
        return new ProposeConfiguration(changeNumber, "ana", digest, rules);
    }

    static String apply(ControlState state, long index, Command command) {
        return describe(Codec.decode(state.apply(index, Codec.encode(command)), Outcome.class));
    }

    static String describe(Outcome outcome) {
        if (outcome instanceof Done) {
            return "done " + ((Done) outcome).version();
        }
        if (outcome instanceof Refused) {
            return ((Refused) outcome).failure().kind().name();
        }
        if (outcome instanceof ClaimGranted) {
            return "granted " + ((ClaimGranted) outcome).index();
        }
        if (outcome instanceof ClaimInProgress) {
            return "in progress " + ((ClaimInProgress) outcome).holder();
        }
        if (outcome instanceof ClaimReplayed) {
            return "replayed " + ((ClaimReplayed) outcome).answer().status();
        }
        return "unknown " + ((ClaimUnknown) outcome).index();
    }
}
