package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.cornelcove.control.leader.ControlLeader;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;

/** An operator who submits, cancels, proposes and queries, and retries until there is an answer. */
final class FakeOperator {
    static final long MAX_DEADLINE_MS = 2_000;

    final Link link;
    private final Simulation sim;
    private final List<Command> sentCommands = new ArrayList<>();
    private int nodeIndex;
    private boolean querying;
    private long queriedVersion = 1;

    FakeOperator(Simulation sim) {
        this.sim = sim;
        this.link = new Link(sim.time);
        sim.time.every(200, this::query);
    }

    private <T> void call(Function<ControlLeader, CompletableFuture<T>> request, BiConsumer<T, Throwable> answer) {
        boolean[] answered = {false};
        link.call(() -> request.apply(sim.group.node(nodeIndex)), (value, fault) -> {
            if (!answered[0]) {
                answered[0] = true;
                nodeIndex += fault == null ? 0 : 1;
                answer.accept(value, fault);
            }
        });
        sim.time.after(2_500, () -> {
            if (!answered[0]) {
                answered[0] = true;
                nodeIndex++;
                answer.accept(null, new IllegalStateException("timeout"));
            }
        });
    }

    private void sendUntilAnswered(Command command, Runnable done) {
        call(leader -> leader.execute(command), (outcome, fault) -> {
            if (fault != null) {
                sim.time.after(100, () -> sendUntilAnswered(command, done));
                return;
            }
            if (command instanceof ProposeConfiguration && outcome instanceof Done) {
                sim.history.accepted.add(
                        new History.Accepted(((ProposeConfiguration) command).digest(), ((Done) outcome).version()));
            }
            done.run();
        });
    }

    void submit(JobSpec spec) {
        SubmitJob command = new SubmitJob(spec);
        sentCommands.add(command);
        sendUntilAnswered(command, () -> sim.reached(Step.SUBMITTED, spec.id()));
    }

    public void cancel(JobId job) {
        CancelJob command = new CancelJob(job);
        sentCommands.add(command);
        sim.reached(Step.CANCELLED, job);
        sendUntilAnswered(command, () -> {});
    }

    void propose(long changeNumber) {
        TreeMap<String, ServiceRule> services = new TreeMap<>();
        services.put(
                "s", new ServiceRule("s", "/" + changeNumber, RequestClass.SAFE, 500, MAX_DEADLINE_MS, 1, 1, 1, 0));
        RuleSet rules = new RuleSet(services, new TreeMap<>(), new TreeMap<>(), new BatchRule(0, 60, 4, 10));
        ProposeConfiguration command = new ProposeConfiguration(changeNumber, "ana", "d" + changeNumber, rules);
        sentCommands.add(command);
        sim.reached(Step.PROPOSED, Simulation.OBSERVED);
        sendUntilAnswered(command, () -> {});
    }

    /** Resends all commands, as after lost answers. */
    public void resendAll() {
        List.copyOf(sentCommands).forEach(command -> sendUntilAnswered(command, () -> {}));
    }

    private void query() {
        if (querying) {
            return;
        }
        querying = true;
        nodeIndex = sim.time.random().nextInt(3);
        call(ControlLeader::jobs, (jobs, fault) -> {
            if (fault == null) {
                jobs.forEach(job -> sim.history.jobObservations.add(new History.JobObservation(sim.time.nowMs(), job)));
            }
            queryConfiguration();
        });
    }

    private void queryConfiguration() {
        call(ControlLeader::configuration, (configuration, fault) -> {
            if (fault == null) {
                sim.history.observedVersions.add(configuration.version());
                queriedVersion = Math.max(queriedVersion, configuration.version());
            }
            call(leader -> leader.inForce(queriedVersion), (inForce, inForceFault) -> {
                if (inForceFault == null) {
                    sim.history.inForceAnswers.add(new History.InForceAnswer(sim.time.nowMs(), inForce));
                    if (inForce.inForce() && queriedVersion > 1) {
                        sim.reached(Step.IN_FORCE, Simulation.OBSERVED);
                    }
                }
                querying = false;
            });
        });
    }
}
