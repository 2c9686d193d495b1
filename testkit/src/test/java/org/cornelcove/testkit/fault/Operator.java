package org.cornelcove.testkit.fault;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.ErrorView;
import org.cornelcove.model.view.InForceView;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.testkit.History;
import org.cornelcove.wire.Json;

/**
 * Changes the rules and submits jobs through any api. Each change gives the service {@code probe} a path prefix of its
 * own, so that requests reveal which rules an entry applies.
 */
final class Operator {
    private static final int SERVICE_UNKNOWN = 601;
    private static final int ENTRY_NOT_READY = 608;
    private static final long TIMEOUT_MS = 6_000;
    private static final long IN_FORCE_LIMIT_MS = 15_000;

    private final Supplier<List<Node>> nodes;
    private final History history;
    private final SplittableRandom random;

    Operator(Supplier<List<Node>> nodes, History history, long seed) {
        this.nodes = nodes;
        this.history = history;
        this.random = new SplittableRandom(seed);
    }

    static RuleSet rules(long changeNumber, String variant) {
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new BatchRule(10, 60, 50, 50));
        rules.services().put("booking", service("booking", "/booking"));
        rules.services().put("probe", service("probe", "/probe-" + changeNumber + variant + "/"));
        rules.teams().put("payouts", new TeamRule("payouts", Resources.of(1_000_000, 1L << 40, 0), 1));
        return rules;
    }

    private static ServiceRule service(String name, String prefix) {
        return new ServiceRule(name, prefix, RequestClass.EXCLUSIVE, 5_000, 10_000, 1 << 20, 500, 100, 25);
    }

    private String anyApi() {
        List<Node> candidates = nodes.get();
        return candidates.get(random.nextInt(candidates.size())).api;
    }

    /** Sends a proposal through one api and records its outcome; it can be repeated through any other api. */
    Seen.Proposal propose(String api, long changeNumber, RuleSet rules) {
        String digest = CanonicalRules.digest(rules);
        ConfigurationProposal proposal = new ConfigurationProposal(changeNumber, "operator", digest, rules);
        Http.Reply reply = Http.send("POST", api, "/v1/configuration", Json.encode(proposal), Map.of(), TIMEOUT_MS);
        long version = reply.as(ConfigurationAccepted.class)
                .map(ConfigurationAccepted::version)
                .orElse(0L);
        ErrorView error = reply.error().orElse(new ErrorView(0, "", "", ""));
        Seen.Proposal outcome = new Seen.Proposal(changeNumber, digest, version, error.number(), error.message());
        history.write(outcome);
        return outcome;
    }

    /**
     * Proposes a change until it is accepted, waits until it is in force, and probes every entry; false on a timeout.
     */
    boolean change(long changeNumber, long limitMs) {
        history.write(new Seen.Proposed(changeNumber, System.currentTimeMillis()));
        long endMs = System.currentTimeMillis() + limitMs;
        while (System.currentTimeMillis() < endMs) {
            Seen.Proposal outcome = propose(anyApi(), changeNumber, rules(changeNumber, ""));
            if (outcome.version() > 0) {
                propose(anyApi(), changeNumber, rules(changeNumber, ""));
                return awaitInForce(outcome.version(), changeNumber);
            }
            Callers.pause(100);
        }
        return false;
    }

    private boolean awaitInForce(long version, long changeNumber) {
        long endMs = System.currentTimeMillis() + IN_FORCE_LIMIT_MS;
        while (System.currentTimeMillis() < endMs) {
            boolean inForce = Http.get(anyApi(), "/v1/configuration/" + version + "/in-force")
                    .as(InForceView.class)
                    .filter(InForceView::inForce)
                    .isPresent();
            if (inForce) {
                history.write(new Seen.InForce(version, changeNumber, System.currentTimeMillis()));
                nodes.get().forEach(node -> probe(node, changeNumber));
                return true;
            }
            Callers.pause(50);
        }
        return false;
    }

    private void probe(Node node, long changeNumber) {
        for (long probedChange = Math.max(1, changeNumber - 1); probedChange <= changeNumber; probedChange++) {
            long sentMs = System.currentTimeMillis();
            Http.Reply reply = Http.get(node.caller, "/probe-" + probedChange + "/x");
            int error = reply.error().map(ErrorView::number).orElse(0);
            if (reply.status() > 0 && error != ENTRY_NOT_READY) {
                boolean known = error != SERVICE_UNKNOWN;
                history.write(new Seen.Probe(node.caller, probedChange, known, sentMs, System.currentTimeMillis()));
            }
        }
        recordConfiguration(node);
    }

    void recordConfiguration(Node node) {
        long sentMs = System.currentTimeMillis();
        Http.get(node.api, "/v1/configuration")
                .as(ConfigurationView.class)
                .ifPresent(view -> history.write(
                        new Seen.Shown(node.api, view.version(), view.digest(), sentMs, System.currentTimeMillis())));
    }

    /** Submits a job once and returns whether it was accepted; callers repeat it until it is. */
    boolean submit(String id, int cores, long runMs, boolean urgent) {
        JobSpec spec = new JobSpec(
                JobId.of(id),
                "payouts",
                urgent ? JobKind.SERVICE : JobKind.BATCH,
                "payout",
                Resources.of(cores * 1000L, 1L << 30, 0),
                runMs,
                urgent,
                "runMs=" + runMs);
        if (!Http.send("POST", anyApi(), "/v1/jobs", Json.encode(spec), Map.of(), TIMEOUT_MS)
                .isSuccess()) {
            return false;
        }
        history.write(new Seen.Submitted(id));
        return true;
    }

    /** Records the state of all jobs and returns whether every accepted job has ended. */
    boolean pollJobs() {
        Http.Reply reply = Http.get(anyApi(), "/v1/jobs");
        List<JobView> jobs = reply.as(JobView[].class).map(List::of).orElse(List.of());
        jobs.forEach(job -> history.write(new Seen.Job(job, System.currentTimeMillis())));
        List<String> ended = jobs.stream()
                .filter(job -> job.state().isFinal())
                .map(job -> job.spec().id().value())
                .toList();
        return reply.isSuccess()
                && history.events(Seen.Submitted.class).stream().allMatch(job -> ended.contains(job.job()));
    }
}
