package org.cornelcove.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntPredicate;

/** The way that one would write first: one queue in the order of arrival, executors in turn, up to three retries. */
final class FifoEntry implements EntryStandIn {
    private static final int MAX_SENDS = 4;
    private static final long FAILURE_US = 2000;

    private final EventLoop loop;
    private final Tally tally;
    private final IntPredicate failing;
    private final long shortRunUs;
    private final int[] busy;
    private final Deque<Sending> queue = new ArrayDeque<>();
    private int turn;

    FifoEntry(EventLoop loop, Tally tally, int executors, IntPredicate failing, long shortRunUs) {
        this.loop = loop;
        this.tally = tally;
        this.failing = failing;
        this.shortRunUs = shortRunUs;
        this.busy = new int[executors];
    }

    @Override
    public void arrive(Call call) {
        queue.add(new Sending(call, 0));
        pump();
    }

    private void pump() {
        int target = freeTarget();
        while (!queue.isEmpty() && target >= 0) {
            send(queue.poll(), target);
            target = freeTarget();
        }
    }

    private void send(Sending sending, int target) {
        busy[target]++;
        tally.sent(sending.sends == 0);
        boolean fails = failing.test(target);
        loop.after(fails ? FAILURE_US : sending.call.runUs(), () -> {
            busy[target]--;
            if (!fails) {
                tally.answered(sending.call, loop.nowUs(), shortRunUs);
            } else if (sending.sends + 1 < MAX_SENDS) {
                queue.addFirst(new Sending(sending.call, sending.sends + 1));
            } else {
                tally.givenUp(sending.call);
            }
            pump();
        });
    }

    private int freeTarget() {
        for (int i = 0; i < busy.length; i++) {
            turn = (turn + 1) % busy.length;
            if (busy[turn] < Site.SLOTS) {
                return turn;
            }
        }
        return -1;
    }

    private record Sending(Call call, int sends) {}
}
