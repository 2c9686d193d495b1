package org.cornelcove.bench.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.admission.Verdict;
import org.cornelcove.policy.learn.RunTimes;
import org.cornelcove.policy.queue.Arrival;
import org.cornelcove.policy.queue.QueuedRequest;
import org.cornelcove.policy.queue.RequestQueue;
import org.cornelcove.policy.retry.RetryBudget;
import org.cornelcove.policy.retry.RetryDecision;
import org.cornelcove.policy.route.SendOutcome;
import org.cornelcove.policy.route.TargetChooser;

/** The decisions of {@code policy}. Refused callers come back when they were told to, up to twice. */
final class PolicyEntry implements EntryStandIn {
    private static final int MAX_RETURNS = 2;
    private static final long FAILURE_US = 2000;
    private static final int RETRY_PERCENT = 5;
    private static final int RETRY_BURST = 10;

    private final EventLoop loop;
    private final Tally tally;
    private final IntPredicate failing;
    private final ServiceRule rule;
    private final RunTimes runTimes = RunTimes.create();
    private final RequestQueue<Call> queue;
    private final TargetChooser chooser;
    private final RetryBudget retries = RetryBudget.of(RETRY_PERCENT, RETRY_BURST);

    PolicyEntry(EventLoop loop, Tally tally, int executors, IntPredicate failing, ServiceRule rule, long seed) {
        this.loop = loop;
        this.tally = tally;
        this.failing = failing;
        this.rule = rule;
        this.queue = RequestQueue.of(rule, t -> new TenantRule(t, 1, rule.maxQueued()), runTimes, seed);
        this.chooser = TargetChooser.inZone("a");
        for (int i = 0; i < executors; i++) {
            chooser.put(TargetId.of("t" + i), "a", Site.SLOTS);
        }
    }

    @Override
    public void arrive(Call call) {
        long deadlineUs = call.atUs() + call.deadlineUs();
        Arrival<Call> arrival = new Arrival<>(call.tenant(), call.kind(), deadlineUs, call.declaredUs(), call);
        Verdict verdict = queue.offer(arrival, chooser.usableSlots(loop.nowMs()), loop.nowUs())
                .verdict();
        if (verdict.isAdmitted()) {
            pump();
            return;
        }
        tally.refused(call);
        if (call.returns() < MAX_RETURNS) {
            loop.after(verdict.retryAfterMs() * 1000, () -> arrive(call.again(loop.nowUs())));
        }
    }

    private void pump() {
        Optional<TargetId> target = chooser.choose(Set.of(), loop.nowMs());
        while (target.isPresent()) {
            Optional<QueuedRequest<Call>> next = queue.poll(chooser.usableSlots(loop.nowMs()), loop.nowUs());
            if (next.isEmpty()) {
                break;
            }
            retries.noteFirstSend();
            send(next.get(), target.get(), 1, new HashSet<>());
            target = chooser.choose(Set.of(), loop.nowMs());
        }
        queue.takeExpired(loop.nowUs()).forEach(w -> tally.givenUp(w.payload()));
    }

    private void send(QueuedRequest<Call> request, TargetId target, int sends, Set<TargetId> failedOn) {
        chooser.started(target);
        tally.sent(sends == 1);
        boolean fails = failing.test(Integer.parseInt(target.value().substring(1)));
        long tookUs = fails ? FAILURE_US : request.payload().runUs();
        loop.after(tookUs, () -> {
            SendOutcome outcome = fails ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            long expectedUs = expectedUs(request.payload());
            chooser.finished(target, outcome, tookUs, expectedUs, loop.nowMs());
            if (!fails) {
                queue.finished(request, loop.nowUs());
                runTimes.record(rule.name(), request.kind(), tookUs);
                tally.answered(request.payload(), loop.nowUs(), rule.shortRunMs() * 1000);
            } else {
                failedOn.add(target);
                sendAgain(request, sends, failedOn, expectedUs);
            }
            pump();
        });
    }

    private void sendAgain(QueuedRequest<Call> request, int sends, Set<TargetId> failedOn, long expectedUs) {
        long remainingUs = request.deadlineUs() - loop.nowUs();
        Optional<TargetId> other = chooser.choose(failedOn, loop.nowMs());
        if (other.isPresent() && RetryDecision.mayRetry(true, sends, remainingUs, expectedUs, retries)) {
            send(request, other.get(), sends + 1, failedOn);
            return;
        }
        queue.finished(request, loop.nowUs());
        tally.givenUp(request.payload());
    }

    private long expectedUs(Call call) {
        return runTimes.estimate(rule.name(), call.kind(), call.declaredUs()).p50Us();
    }
}
