package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Several threads call the leader while another applies commands: all jobs finish without a deadlock. */
class ThreadedLeaderTest {
    private static final int WORKERS = 4;
    private static final int JOBS = 200;

    private final ControlState state = ControlState.create();
    private final ExecutorService applier = Executors.newSingleThreadExecutor();
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicBoolean done = new AtomicBoolean();
    private final ControlLeader leader = ControlLeader.create(
            state, nowMs::get, this::commit, () -> CompletableFuture.supplyAsync(() -> 0L, applier));
    private long index;

    private CompletableFuture<Outcome> commit(long term, Command command) {
        return CompletableFuture.supplyAsync(
                () -> Codec.decode(state.apply(++index, Codec.encode(command)), Outcome.class), applier);
    }

    /** Sends heartbeats as a worker that finishes each attempt by its next heartbeat. */
    private void runWorker(HostId host) {
        Map<AttemptId, Optional<AttemptEnd>> attempts = new HashMap<>();
        while (!done.get()) {
            List<AttemptReport> reports = new ArrayList<>();
            attempts.forEach((id, end) -> reports.add(AttemptReport.of(id, 0, 0, 0, Optional.empty(), end, "")));
            WorkerHeartbeat heartbeat =
                    new WorkerHeartbeat(host, 1, "z", "r", Resources.of(8_000, 100, 0), false, reports);
            attempts.replaceAll((id, end) -> Optional.of(AttemptEnd.FINISHED));
            for (AttemptOrder order : leader.workerHeartbeat(heartbeat).join().orders()) {
                if (order.action() == AttemptAction.FORGET) {
                    attempts.remove(order.attempt());
                } else if (order.spec().isPresent()) {
                    attempts.putIfAbsent(order.attempt(), Optional.empty());
                }
            }
        }
    }

    private void runEntry(String entry) {
        while (!done.get()) {
            leader.heartbeat(new EntryHeartbeat(EntryId.of(entry), 1, "z", "r", "h", 0, false, List.of(), 1, 0))
                    .join();
        }
    }

    @Test
    @Timeout(value = 2, unit = TimeUnit.MINUTES)
    void allJobsFinish() throws InterruptedException {
        leader.leadershipGained(1);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            HostId host = HostId.of("w" + i);
            threads.add(new Thread(() -> runWorker(host)));
        }
        threads.add(new Thread(() -> runEntry("e")));
        threads.forEach(Thread::start);
        for (int i = 0; i < JOBS; i++) {
            Resources resources = Resources.of(1_000, 1, 0);
            leader.execute(new SubmitJob(
                    new JobSpec(JobId.of("j" + i), "red", JobKind.BATCH, "t", resources, 1, i % 9 == 0, "")));
        }
        JobCounts counts;
        do {
            nowMs.addAndGet(1);
            leader.tick();
            counts = leader.status().join().jobs();
        } while (counts.finished() < JOBS);
        done.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        applier.shutdown();
        assertThat(counts, is(new JobCounts(0, 0, JOBS, 0, 0)));
    }
}
