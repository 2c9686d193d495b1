package org.cornelcove.work.lead;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.Replica;
import org.cornelcove.wire.PeriodicTask;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.plan.LeaseCheck;
import org.cornelcove.work.state.WorkCommand;
import org.cornelcove.work.state.WorkState;

/**
 * The part of a control host that is active while the host leads. A single thread makes all decisions; requests, and the
 * results of asynchronous calls to the log and to workers, reach it through its queue.
 *
 * <p>Answers that could be stale wait for the log: changes for their commit, reads for a read barrier. So a leader that
 * was deposed without noticing it never returns an old state.
 */
public final class WorkLeader implements AutoCloseable {
    private static final long TICK_MS = 50;
    /** Longer tasks on the loop are logged; leases are renewed every second and a half. */
    private static final long SLOW_MS = 100;

    private final LeadSettings settings;
    private final WorkerDriver driver;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "work-loop");
        thread.setDaemon(true);
        return thread;
    });
    private final Clock clock = new Clock();
    private volatile Replica replica;
    private volatile LongSupplier leasedUntilMs = () -> 0;
    private final LeaseCheck leaseCheck = new LeaseCheck();
    private Optional<Term> term = Optional.empty();
    /** The callers' requests of the term, present with it. */
    private Optional<JobRequests> requests = Optional.empty();

    private boolean settleDue;
    private final CompletableFuture<Error> failed = new CompletableFuture<>();

    private WorkLeader(LeadSettings settings, WorkerDriver driver) {
        this.settings = settings;
        this.driver = driver;
    }

    /**
     * Creates an instance that does not lead yet, and starts its loop.
     *
     * @param settings its settings
     * @param driver calls workers
     * @return the instance, to be closed by the caller
     */
    public static WorkLeader create(LeadSettings settings, WorkerDriver driver) {
        WorkLeader leader = new WorkLeader(settings, driver);
        PeriodicTask.schedule(leader.executor, "tick", leader::tick, TICK_MS, TICK_MS);
        return leader;
    }

    /**
     * Starts a term with a fence above those of all earlier leaders.
     *
     * @param fence the fence of the term, which increases with each term
     * @param member the replica that proposes commands
     * @param state the durable state
     * @param leaseEndMs the end of the leader's lease, in milliseconds on the monotonic clock
     */
    public void gained(long fence, Replica member, WorkState state, LongSupplier leaseEndMs) {
        clock.execute(() -> {
            replica = member;
            leasedUntilMs = leaseEndMs;
            Proposals proposals = new Proposals(entry -> member.propose(fence, entry), clock::execute);
            Term leading = new Term(fence, settings, state, proposals, driver, clock);
            term = Optional.of(leading);
            requests = Optional.of(new JobRequests(leading, this::afterBarrier));
            EventLog.event("lead.gained", "fence", fence, "jobs", state.jobs().size());
        });
    }

    /** Ends the term. */
    public void lost() {
        long lostMs = clock.nowMs();
        clock.execute(() -> {
            endTerm();
            EventLog.event("lead.lost", "noticedAfterMs", clock.nowMs() - lostMs);
        });
    }

    private void endTerm() {
        term.ifPresent(Term::end);
        term = Optional.empty();
        requests = Optional.empty();
    }

    /**
     * Returns a future that completes when an error has left this leader unable to work, such as a lack of memory. It has
     * stopped leading by then; the process should end.
     *
     * @return the error; never completes otherwise
     */
    public CompletableFuture<Error> failed() {
        return failed;
    }

    // Calls

    /**
     * Handles a heartbeat of a worker; fails with kind {@code NOT_LEADER}.
     *
     * @param info the state that the worker reports
     * @return completed once the heartbeat is handled
     */
    public CompletableFuture<Void> announce(WorkerInfo info) {
        return onTerm((leading, answer) -> {
            leading.announce(info);
            answer.complete(null);
        });
    }

    /**
     * Handles a worker's message that it ends; fails with kind {@code NOT_LEADER}.
     *
     * @param workerId the worker
     * @param processStartMs the start of the process that ends, in Unix milliseconds, empty if the message does not say it
     * @return completed when the worker may end: once its runs are stopped, or after about a second
     */
    public CompletableFuture<Void> leave(String workerId, OptionalLong processStartMs) {
        return onTerm((leading, answer) -> {
            leading.departures().leave(workerId, processStartMs, () -> answer.complete(null));
        });
    }

    /**
     * Replaces the rules; rules that are not newer change nothing. Fails with the kinds of {@link Replica#propose}.
     *
     * @param rules the rules
     * @return completed once the rules are committed
     */
    public CompletableFuture<Void> configure(WorkRules rules) {
        return onTerm((leading, answer) -> leading.proposals.add(new WorkCommand.Configure(rules), result -> {
            if (result.failure().isPresent()) {
                answer.completeExceptionally(result.failure().get().asException());
            } else {
                EventLog.event(
                        "rules.accepted",
                        "version",
                        rules.version(),
                        "verdict",
                        result.verdict().get());
                answer.complete(null);
            }
        }));
    }

    /**
     * Returns the newest rules; fails with kind {@code NOT_LEADER} if the read barrier fails.
     *
     * @return the committed rules, with version 0 before the first ones
     */
    public CompletableFuture<WorkRules> rules() {
        return read((leading, answer) -> answer.complete(leading.state.rules()));
    }

    /**
     * Handles a request of a caller; fails with the kinds of {@link Replica#propose}.
     *
     * @param call the request
     * @return the answer
     */
    public CompletableFuture<JobReply> call(JobCall call) {
        return onTerm((leading, answer) -> requests.orElseThrow().handle(call, answer));
    }

    // The loop

    private interface Work<T> {
        void run(Term leading, CompletableFuture<T> answer);
    }

    private <T> CompletableFuture<T> onTerm(Work<T> work) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        try {
            clock.execute(() -> {
                if (term.isEmpty()) {
                    answer.completeExceptionally(notLeader());
                } else {
                    work.run(term.get(), answer);
                }
            });
        } catch (RejectedExecutionException e) {
            answer.completeExceptionally(notLeader());
        }
        return answer;
    }

    private <T> CompletableFuture<T> read(Work<T> work) {
        return onTerm((leading, answer) -> afterBarrier(answer, () -> work.run(leading, answer)));
    }

    private void afterBarrier(CompletableFuture<?> answer, Runnable then) {
        replica.readBarrier()
                .whenComplete((index, thrown) -> clock.execute(() -> {
                    if (thrown == null) {
                        then.run();
                    } else {
                        answer.completeExceptionally(notLeader());
                    }
                }));
    }

    private static RuntimeException notLeader() {
        return Failure.of(ErrorKind.NOT_LEADER, "the other control hosts").asException();
    }

    private void tick() {
        guarded("tick", () -> term.ifPresent(Term::tick));
        settle();
    }

    private void settle() {
        settleDue = false;
        guarded("settle", () -> term.ifPresent(Term::settle));
    }

    private void guarded(String what, Runnable task) {
        long startNs = System.nanoTime();
        try {
            FaultBarrier.run(what, task);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            if (tookMs > SLOW_MS) {
                EventLog.event("loop.slow", "tookMs", tookMs, "what", what);
            }
        } catch (Error e) {
            endTerm();
            failed.complete(e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private final class Clock implements LoopClock {
        @Override
        public long nowMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public long wallMs() {
            return System.currentTimeMillis();
        }

        @Override
        public boolean leased() {
            return leaseCheck.isValid(leasedUntilMs.getAsLong(), nowMs(), wallMs());
        }

        @Override
        public void later(long delayMs, Runnable task) {
            executor.schedule(() -> pass(task), delayMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public void execute(Runnable task) {
            executor.execute(() -> pass(task));
        }

        private void pass(Runnable task) {
            guarded("answer", task);
            if (!settleDue) {
                settleDue = true;
                executor.execute(WorkLeader.this::settle);
            }
        }
    }
}
