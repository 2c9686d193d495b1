package org.cornelcove.work.lead;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.error.Failure;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.state.CommandCodec;
import org.cornelcove.work.state.WorkCommand;
import org.cornelcove.work.state.WorkState;
import org.junit.jupiter.api.BeforeEach;

/** A leader's term over a durable state, with simulated workers on a manual clock. */
abstract class TermRig {
    static final LeadSettings SETTINGS = new LeadSettings(5000, 6000, 200, 120_000);

    final WorkState state = new WorkState();
    final ManualLoop loop = new ManualLoop();
    final FakeWorkers workers = new FakeWorkers(loop);
    /** Why the log takes no entry now, while the leader goes on. */
    Optional<Failure> refused = Optional.empty();

    private long index;
    private long fence;

    @BeforeEach
    void begin() {
        apply(new WorkCommand.Configure(Steps.RULES));
        lead();
    }

    byte[] apply(WorkCommand command) {
        return state.apply(++index, CommandCodec.encode(List.of(command)));
    }

    void lead() {
        if (loop.term != null) {
            loop.term.end();
        }
        Proposals proposals = new Proposals(
                entry -> {
                    CompletableFuture<byte[]> done = new CompletableFuture<>();
                    Optional<Failure> failure = refused;
                    loop.later(
                            10,
                            () -> failure.ifPresentOrElse(
                                    why -> done.completeExceptionally(why.asException()),
                                    () -> done.complete(state.apply(++index, entry))));
                    return done;
                },
                loop::execute);
        loop.term = new Term(++fence, SETTINGS, state, proposals, workers, loop);
    }

    void submit(JobSpec spec) {
        apply(new WorkCommand.Submit(spec, Steps.QUEUE, loop.wallMs()));
        loop.term.openJob(state.job(spec.id()).orElseThrow());
    }

    void cancel(String job) {
        apply(new WorkCommand.Cancel(job, loop.wallMs()));
        loop.term.jobEnded(job);
    }

    JobPhase phase(String job) {
        return state.job(job).orElseThrow().phase();
    }

    void runWithBeats(long ms) {
        for (long passedMs = 0; passedMs < ms; passedMs += 1000) {
            workers.beat(loop.nowMs());
            loop.run(1000);
        }
    }

    FakeWorkers.Incarnation busy() {
        return workers.incarnations.values().stream()
                .filter(incarnation -> !incarnation.running.isEmpty())
                .findFirst()
                .orElseThrow();
    }
}
