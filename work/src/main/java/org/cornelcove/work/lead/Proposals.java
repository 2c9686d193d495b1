package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.state.CommandCodec;
import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;

/**
 * Batches the commands of one pass of the leader's loop into one log entry, since each entry costs one replication round
 * and an fsync regardless of its size.
 */
final class Proposals {
    /** The outcome of a command: a verdict, or the failure of the whole entry. */
    record Result(Optional<Verdict> verdict, Optional<Failure> failure) {
        boolean is(Verdict wanted) {
            return verdict.filter(v -> v == wanted).isPresent();
        }

        /** Checks whether the command was certainly not appended to the log, which may take it later in the same term. */
        boolean notAppended() {
            return failure.filter(f -> f.kind() == ErrorKind.NOT_LEADER || f.kind() == ErrorKind.NO_QUORUM)
                    .isPresent();
        }
    }

    /** Limit of concurrent entries; more would only lengthen the queue of the disk. */
    private static final int MAX_PENDING_ENTRIES = 4;

    private final Function<byte[], CompletableFuture<byte[]>> propose;
    private final Executor loop;
    private List<WorkCommand> commands = new ArrayList<>();
    private List<Consumer<Result>> listeners = new ArrayList<>();
    private int pendingEntries;

    Proposals(Function<byte[], CompletableFuture<byte[]>> propose, Executor loop) {
        this.propose = propose;
        this.loop = loop;
    }

    /**
     * Adds a command to the next entry; the listener is called on the loop.
     *
     * @param command the command
     * @param listener receives the outcome
     */
    void add(WorkCommand command, Consumer<Result> listener) {
        commands.add(command);
        listeners.add(listener);
    }

    /** Proposes the collected commands, unless too many entries are pending. */
    void flush() {
        if (commands.isEmpty() || pendingEntries >= MAX_PENDING_ENTRIES) {
            return;
        }
        byte[] entry = CommandCodec.encode(commands);
        List<Consumer<Result>> waiting = listeners;
        commands = new ArrayList<>();
        listeners = new ArrayList<>();
        pendingEntries++;
        long startNs = System.nanoTime();
        propose.apply(entry)
                .whenComplete((verdicts, thrown) -> loop.execute(() -> {
                    pendingEntries--;
                    Metrics.recordLatency("commit", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
                    notifyListeners(waiting, verdicts, thrown);
                    flush();
                }));
    }

    private static void notifyListeners(List<Consumer<Result>> waiting, byte[] verdicts, Throwable thrown) {
        for (int i = 0; i < waiting.size(); i++) {
            Result result = thrown == null
                    ? new Result(Optional.of(Verdict.values()[verdicts[i]]), Optional.empty())
                    : new Result(Optional.empty(), Optional.of(failureOf(thrown)));
            Consumer<Result> listener = waiting.get(i);
            FaultBarrier.run("outcome of a command", () -> listener.accept(result));
        }
    }

    private static Failure failureOf(Throwable thrown) {
        return FailureException.carriedBy(thrown).orElseGet(() -> Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN));
    }
}
