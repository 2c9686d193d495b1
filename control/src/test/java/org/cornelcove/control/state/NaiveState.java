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
        private long submittedIndex;
        private long endedIndex;
        private String state = "PENDING";
        private int attempt;
        private String host = "";
        private String checkpoint = "";
        private int failures;
    }

    private static final class NaiveClaim {
        private String digest;
        private String holder;
        private long claimNumber;
        private long decidedIndex;
        private String state = "open";
    }

    private final Map<String, NaiveJob> jobs = new HashMap<>();
    private final Map<String, RegisterWorker> workers = new HashMap<>();
    private final Map<String, Long> entries = new HashMap<>();
    private final Map<String, NaiveClaim> claims = new HashMap<>();
    private final List<ProposeConfiguration> versions = new ArrayList<>();

    String apply(long logIndex, Command command) {
        if (command instanceof SubmitJob) {
            return submit(logIndex, ((SubmitJob) command).spec());
        }
        if (command instanceof PlaceAttempt) {
            return place(logIndex, (PlaceAttempt) command);
        }
        if (command instanceof EndAttempt) {
            return end(logIndex, (EndAttempt) command);
        }
        if (command instanceof CancelJob) {
            return cancel(logIndex, jobs.get(((CancelJob) command).job().value()));
        }
        if (command instanceof RecordCheckpoint) {
            NaiveJob job = held(((RecordCheckpoint) command).attempt());
            if (job == null || !job.state.equals("PLACED")) {
                return "ATTEMPT_STALE";
            }
            job.checkpoint = ((RecordCheckpoint) command).checkpoint();
            return "done " + logIndex;
        }
        if (command instanceof RegisterWorker) {
            RegisterWorker worker = (RegisterWorker) command;
            RegisterWorker existing = workers.get(worker.host().value());
            if (existing != null && existing.incarnation() > worker.incarnation()) {
                return "WORKER_FENCED";
            }
            workers.put(worker.host().value(), worker);
            return "done " + logIndex;
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
            return "done " + logIndex;
        }
        return applyForEntries(logIndex, command);
    }

    private String applyForEntries(long logIndex, Command command) {
        if (command instanceof RegisterEntry) {
            RegisterEntry entry = (RegisterEntry) command;
            if (entries.getOrDefault(entry.entry().value(), 0L) > entry.incarnation()) {
                return "ENTRY_FENCED";
            }
            entries.put(entry.entry().value(), entry.incarnation());
            return "done " + logIndex;
        }
        if (command instanceof ClaimOnce) {
            return claim(logIndex, (ClaimOnce) command);
        }
        if (command instanceof ReleaseClaim) {
            ReleaseClaim release = (ReleaseClaim) command;
            return release(logIndex, release);
        }
        if (command instanceof RecordOutcome) {
            return record(logIndex, (RecordOutcome) command);
        }
        if (command instanceof AbandonClaims) {
            AbandonClaims abandon = (AbandonClaims) command;
            for (NaiveClaim claim : claims.values()) {
                String[] holder = claim.holder.split("#");
                if (claim.state.equals("open")
                        && holder[0].equals(abandon.entry().value())
                        && Long.parseLong(holder[1]) < abandon.beforeIncarnation()) {
                    claim.state = "unknown";
                    claim.decidedIndex = logIndex;
                }
            }
            return "done " + logIndex;
        }
        if (command instanceof ExpireClaims) {
            long upTo = ((ExpireClaims) command).decidedUpToIndex();
            claims.values().removeIf(claim -> !claim.state.equals("open") && claim.decidedIndex <= upTo);
            return "done " + logIndex;
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

    private String submit(long logIndex, JobSpec spec) {
        NaiveJob existing = jobs.get(spec.id().value());
        if (existing != null) {
            return existing.spec.equals(spec) ? "done " + existing.submittedIndex : "JOB_CONFLICT";
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
        job.submittedIndex = logIndex;
        jobs.put(spec.id().value(), job);
        return "done " + logIndex;
    }

    /** All jobs in this test are batch work, so the service reserve limits their total. */
    private boolean fits(Resources batch, RegisterWorker worker) {
        long left = 100 - rules().batch().serviceReservePercent();
        return batch.fitsIn(worker.capacity())
                && batch.cpuMillicores() * 100 <= worker.capacity().cpuMillicores() * left;
    }

    private String place(long logIndex, PlaceAttempt command) {
        NaiveJob job = jobs.get(command.attempt().job().value());
        String host = command.host().value();
        if (job == null) {
            return "JOB_UNKNOWN";
        }
        if (job.endedIndex > 0) {
            return "JOB_ALREADY_ENDED";
        }
        if (job.host.equals(host) && job.attempt == command.attempt().number()) {
            return "done " + logIndex;
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
        return "done " + logIndex;
    }

    private NaiveJob held(AttemptId attempt) {
        NaiveJob job = jobs.get(attempt.job().value());
        return job == null || job.host.isEmpty() || job.attempt != attempt.number() ? null : job;
    }

    private String end(long logIndex, EndAttempt command) {
        NaiveJob job = held(command.attempt());
        if (job == null) {
            return "ATTEMPT_STALE";
        }
        job.host = "";
        if (job.endedIndex > 0) {
            return "done " + logIndex;
        }
        job.checkpoint = command.checkpoint().orElse(job.checkpoint);
        job.failures += command.end() == AttemptEnd.FAILED ? 1 : 0;
        boolean attemptsExhausted = command.end() == AttemptEnd.FAILED
                && job.failures >= rules().batch().maxAttempts();
        if (command.end() == AttemptEnd.FINISHED || attemptsExhausted) {
            job.state = command.end().name();
            job.endedIndex = logIndex;
        } else {
            job.state = "PENDING";
        }
        return "done " + logIndex;
    }

    private static String cancel(long logIndex, NaiveJob job) {
        if (job == null) {
            return "JOB_UNKNOWN";
        }
        if (job.state.equals("CANCELLED")) {
            return "done " + job.endedIndex;
        }
        if (job.endedIndex > 0) {
            return "JOB_ALREADY_ENDED";
        }
        job.state = "CANCELLED";
        job.endedIndex = logIndex;
        return "done " + logIndex;
    }

    private String fenced(String entry, long incarnation) {
        Long existing = entries.get(entry);
        return existing == null ? "ENTRY_UNKNOWN" : existing == incarnation ? "" : "ENTRY_FENCED";
    }

    private String claim(long logIndex, ClaimOnce command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        NaiveClaim existing = claims.get(command.key());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        boolean available = existing == null || existing.state.equals("released");
        if (!available && !existing.digest.equals(command.digest())) {
            return "KEY_REUSED";
        }
        String holder = command.entry() + "#" + command.incarnation();
        boolean repeated =
                existing != null && existing.holder.equals(holder) && existing.claimNumber == command.claimNumber();
        if (repeated && existing.state.equals("open")) {
            return "granted " + logIndex;
        }
        if (existing != null && existing.state.equals("open")) {
            return "in progress " + existing.holder.split("#")[0];
        }
        if (!available) {
            return existing.state.equals("unknown") ? "unknown " + existing.decidedIndex : "replayed " + existing.state;
        }
        if (repeated) {
            return "CLAIM_NOT_HELD";
        }
        NaiveClaim claim = new NaiveClaim();
        claim.digest = command.digest();
        claim.holder = holder;
        claim.claimNumber = command.claimNumber();
        claims.put(command.key(), claim);
        return "granted " + logIndex;
    }

    private String release(long logIndex, ReleaseClaim command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        String holder = command.entry() + "#" + command.incarnation();
        NaiveClaim existing = claims.get(command.key());
        if (existing == null
                || existing.state.equals("open")
                        && existing.holder.equals(holder)
                        && existing.claimNumber == command.claimNumber()) {
            NaiveClaim released = new NaiveClaim();
            released.digest = "";
            released.holder = holder;
            released.claimNumber = command.claimNumber();
            released.state = "released";
            released.decidedIndex = logIndex;
            claims.put(command.key(), released);
            return "done " + logIndex;
        }
        boolean isRepeated = existing.state.equals("released")
                && existing.holder.equals(holder)
                && existing.claimNumber == command.claimNumber();
        return isRepeated ? "done " + existing.decidedIndex : "CLAIM_NOT_HELD";
    }

    private String record(long logIndex, RecordOutcome command) {
        String fenced = fenced(command.entry().value(), command.incarnation());
        NaiveClaim existing = claims.get(command.key());
        if (!fenced.isEmpty()) {
            return fenced;
        }
        if (existing == null
                || existing.state.equals("released")
                || !existing.holder.equals(command.entry() + "#" + command.incarnation())) {
            return "CLAIM_NOT_HELD";
        }
        boolean recorded = !existing.state.equals("open") && !existing.state.equals("unknown");
        boolean unchanged =
                recorded || existing.state.equals("unknown") && command.answer().isEmpty();
        if (!unchanged) {
            existing.state =
                    command.answer().map(answer -> "" + answer.status()).orElse("unknown");
            existing.decidedIndex = logIndex;
        }
        return (existing.state.equals("unknown") ? "unknown " : "done ") + existing.decidedIndex;
    }

    /** Returns one line for each job. */
    Map<String, String> jobs() {
        Map<String, String> lines = new HashMap<>();
        jobs.forEach((id, job) -> lines.put(id, job.state + " " + job.attempt + " " + job.host + " " + job.checkpoint));
        return lines;
    }
}
