package org.cornelcove.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.ExpireClaims;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.RegisterEntry;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.command.RemoveWorker;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;

/** A naive reference model of the durable state: maps without indexes or limits; totals are computed on each use. */
final class NaiveState {
    private static final class NaiveJob {
        private JobSpec spec;
        private long since;
        private long ended;
        private String state = "PENDING";
        private int attempt;
        private String host = "";
        private String checkpoint = "";
        private int failures;
    }

    private static final class NaiveClaim {
        private String digest;
        private String holder;
        private long number;
        private long decided;
        private String state = "open";
    }

    private final Map<String, NaiveJob> jobs = new HashMap<>();
    private final Map<String, RegisterWorker> workers = new HashMap<>();
    private final Map<String, Long> entries = new HashMap<>();
    private final Map<String, NaiveClaim> claims = new HashMap<>();
    private final List<ProposeConfiguration> versions = new ArrayList<>();

    String apply(long at, Command command) {
        if (command instanceof SubmitJob) {
            return submit(at, ((SubmitJob) command).spec());
        }
        if (command instanceof PlaceAttempt) {
            return place(at, (PlaceAttempt) command);
        }
        if (command instanceof EndAttempt) {
            return end(at, (EndAttempt) command);
        }
        if (command instanceof CancelJob) {
            return cancel(at, jobs.get(((CancelJob) command).job().value()));
        }
        if (command instanceof RecordCheckpoint) {
            NaiveJob job = held(((RecordCheckpoint) command).attempt());
            if (job == null || !job.state.equals("PLACED")) {
                return "ATTEMPT_STALE";
            }
            job.checkpoint = ((RecordCheckpoint) command).checkpoint();
            return "done " + at;
        }
        if (command instanceof RegisterWorker) {
            RegisterWorker worker = (RegisterWorker) command;
            RegisterWorker known = workers.get(worker.host().value());
            if (known != null && known.incarnation() > worker.incarnation()) {
                return "WORKER_FENCED";
            }
            workers.put(worker.host().value(), worker);
            return "done " + at;
        }
        if (command instanceof RemoveWorker) {
            String host = ((RemoveWorker) command).host().value();
            if (!workers.containsKey(host)) {
                return "HOST_UNKNOWN";
            }
            if (jobs.values().stream().anyMatch(job -> job.host.equals(host))) {
                return "WORKER_BUSY";
            }
            workers.remove(host);
            return "done " + at;
        }
        return applyForEntries(at, command);
    }

    private String applyForEntries(long at, Command command) {
        if (command instanceof RegisterEntry) {
            RegisterEntry entry = (RegisterEntry) command;
            if (entries.getOrDefault(entry.entry().value(), 0L) > entry.incarnation()) {
                return "ENTRY_FENCED";
            }
            entries.put(entry.entry().value(), entry.incarnation());
            return "done " + at;
        }
        if (command instanceof ClaimOnce) {
            return claim(at, (ClaimOnce) command);
        }
        if (command instanceof ReleaseClaim) {
            ReleaseClaim release = (ReleaseClaim) command;
            return release(at, release);
        }
        if (command instanceof RecordOutcome) {
            return record(at, (RecordOutcome) command);
        }
        if (command instanceof AbandonClaims) {
            AbandonClaims abandon = (AbandonClaims) command;
            for (NaiveClaim claim : claims.values()) {
                String[] holder = claim.holder.split("#");
                if (claim.state.equals("open")
                        && holder[0].equals(abandon.entry().value())
                        && Long.parseLong(holder[1]) < abandon.beforeIncarnation()) {
                    claim.state = "unknown";
                    claim.decided = at;
                }
            }
            return "done " + at;
        }
        if (command instanceof ExpireClaims) {
            long upTo = ((ExpireClaims) command).decidedUpToIndex();
            claims.values().removeIf(claim -> !claim.state.equals("open") && claim.decided <= upTo);
            return "done " + at;
        }
        return propose((ProposeConfiguration) command);
    }

    private RuleSet rules() {
        return versions.isEmpty()
                ? RuleSet.empty()
                : versions.get(versions.size() - 1).rules();
    }

    private String propose(ProposeConfiguration change) {
        for (int i = 0; i < versions.size(); i++) {
            if (versions.get(i).changeNumber() == change.changeNumber()) {
                return versions.get(i).digest().equals(change.digest()) ? "done " + (i + 1) : "CONFIGURATION_CONFLICT";
            }
        }
        if (versions.stream().anyMatch(other -> other.changeNumber() > change.changeNumber())) {
            return "CONFIGURATION_STALE";
        }
        versions.add(change);
        return "done " + versions.size();
    }

    private String submit(long at, JobSpec spec) {
        NaiveJob known = jobs.get(spec.id().value());
        if (known != null) {
            return known.spec.equals(spec) ? "done " + known.since : "JOB_CONFLICT";
        }
        if (!rules().teams().isEmpty() && !rules().teams().containsKey(spec.team())) {
            return "TEAM_UNKNOWN";
        }
        boolean fitsSome = workers.values().stream().anyMatch(worker -> fits(spec.resources(), worker));
        if (!workers.isEmpty() && !fitsSome) {
            return "JOB_NEVER_FITS";
        }
        NaiveJob job = new NaiveJob();
        job.spec = spec;
        job.since = at;
        jobs.put(spec.id().value(), job);
        return "done " + at;
    }

    /** All jobs in this test are batch work, so the service reserve limits their total. */
    private boolean fits(Resources batch, RegisterWorker worker) {
        long left = 100 - rules().batch().serviceReservePercent();
        return batch.fitsIn(worker.capacity())
                && batch.cpuMillicores() * 100 <= worker.capacity().cpuMillicores() * left;
    }

    private String place(long at, PlaceAttempt command) {
        NaiveJob job = jobs.get(command.attempt().job().value());
        String host = command.host().value();
        if (job == null) {
            return "JOB_UNKNOWN";
        }
        if (job.ended > 0) {
            return "JOB_ALREADY_ENDED";
        }
        if (job.host.equals(host) && job.attempt == command.attempt().number()) {
            return "done " + at;
        }
        if (!job.host.isEmpty() || command.attempt().number() != job.attempt + 1) {
            return "ATTEMPT_STALE";
        }
        if (!workers.containsKey(host)) {
            return "HOST_UNKNOWN";
        }
        Resources onHost = job.spec.resources();
        Resources byTeam = job.spec.resources();
        for (NaiveJob other : jobs.values()) {
            onHost = other.host.equals(host) ? onHost.plus(other.spec.resources()) : onHost;
            boolean sameTeam = !other.host.isEmpty() && other.spec.team().equals(job.spec.team());
            byTeam = sameTeam ? byTeam.plus(other.spec.resources()) : byTeam;
        }
        if (!fits(onHost, workers.get(host))) {
            return "HOST_FULL";
        }
        if (!rules().teams().isEmpty()
                && !byTeam.fitsIn(rules().teams().get(job.spec.team()).quota())) {
            return "QUOTA_EXCEEDED";
        }
        job.host = host;
        job.attempt++;
        job.state = "PLACED";
        return "done " + at;
    }

    private NaiveJob held(AttemptId attempt) {
        NaiveJob job = jobs.get(attempt.job().value());
        return job == null || job.host.isEmpty() || job.attempt != attempt.number() ? null : job;
    }

    private String end(long at, EndAttempt command) {
        NaiveJob job = held(command.attempt());
        if (job == null) {
            return "ATTEMPT_STALE";
        }
        job.host = "";
        if (job.ended > 0) {
            return "done " + at;
        }
        job.checkpoint = command.checkpoint().orElse(job.checkpoint);
        job.failures += command.end() == AttemptEnd.FAILED ? 1 : 0;
        boolean givenUp = command.end() == AttemptEnd.FAILED
                && job.failures >= rules().batch().maxAttempts();
        if (command.end() == AttemptEnd.FINISHED || givenUp) {
            job.state = command.end().name();
            job.ended = at;
        } else {
            job.state = "PENDING";
        }
        return "done " + at;
    }

    private static String cancel(long at, NaiveJob job) {
        if (job == null) {
            return "JOB_UNKNOWN";
        }
        if (job.state.equals("CANCELLED")) {
            return "done " + job.ended;
        }
        if (job.ended > 0) {
            return "JOB_ALREADY_ENDED";
        }
        job.state = "CANCELLED";
        job.ended = at;
        return "done " + at;
    }

    private String fenced(String entry, long incarnation) {
        Long known = entries.get(entry);
        return known == null ? "ENTRY_UNKNOWN" : known == incarnation ? "" : "ENTRY_FENCED";
    }

    private String claim(long at, ClaimOnce command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        NaiveClaim known = claims.get(command.key());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        boolean free = known == null || known.state.equals("released");
        if (!free && !known.digest.equals(command.digest())) {
            return "KEY_REUSED";
        }
        if (known != null && known.state.equals("open")) {
            return "in progress " + known.holder.split("#")[0];
        }
        if (!free) {
            return known.state.equals("unknown") ? "unknown " + known.decided : "replayed " + known.state;
        }
        String holder = command.entry() + "#" + command.incarnation();
        if (known != null && known.holder.equals(holder) && known.number == command.claimNumber()) {
            return "CLAIM_NOT_HELD";
        }
        NaiveClaim claim = new NaiveClaim();
        claim.digest = command.digest();
        claim.holder = holder;
        claim.number = command.claimNumber();
        claims.put(command.key(), claim);
        return "granted " + at;
    }

    private String release(long at, ReleaseClaim command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        String holder = command.entry() + "#" + command.incarnation();
        NaiveClaim known = claims.get(command.key());
        if (known == null
                || known.state.equals("open") && known.holder.equals(holder) && known.number == command.claimNumber()) {
            NaiveClaim released = new NaiveClaim();
            released.digest = "";
            released.holder = holder;
            released.number = command.claimNumber();
            released.state = "released";
            released.decided = at;
            claims.put(command.key(), released);
            return "done " + at;
        }
        boolean again =
                known.state.equals("released") && known.holder.equals(holder) && known.number == command.claimNumber();
        return again ? "done " + known.decided : "CLAIM_NOT_HELD";
    }

    private String record(long at, RecordOutcome command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        NaiveClaim known = claims.get(command.key());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        if (known == null
                || known.state.equals("released")
                || !known.holder.equals(command.entry() + "#" + command.incarnation())) {
            return "CLAIM_NOT_HELD";
        }
        boolean recorded = !known.state.equals("open") && !known.state.equals("unknown");
        boolean stays =
                recorded || known.state.equals("unknown") && command.answer().isEmpty();
        if (!stays) {
            known.state = command.answer().map(answer -> "" + answer.status()).orElse("unknown");
            known.decided = at;
        }
        return (known.state.equals("unknown") ? "unknown " : "done ") + known.decided;
    }

    /** Returns one line for each job. */
    Map<String, String> jobs() {
        Map<String, String> lines = new HashMap<>();
        jobs.forEach((id, job) -> lines.put(id, job.state + " " + job.attempt + " " + job.host + " " + job.checkpoint));
        return lines;
    }
}
