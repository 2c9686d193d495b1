package org.cornelcove.policy.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.learn.RunTimes;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Runs the same commands on a queue that uses the shared methods where allowed and on one that does not. */
class SharedModeTest {
    private static final int STEPS = 20_000;

    /** One of the two queues, with its running and waiting requests in command order. */
    private static final class Side {
        private final boolean shares;
        private final RunTimes times = RunTimes.create();
        private final RequestQueue<Integer> queue;
        private final List<QueuedRequest<Integer>> running = new ArrayList<>();
        private final List<QueuedRequest<Integer>> waiting = new ArrayList<>();
        private ServiceRule rule = rule(100);
        private int startedShared;
        private int finishedShared;

        Side(boolean shares) {
            this.shares = shares;
            queue = RequestQueue.of(rule, t -> new TenantRule(t, t.equals("t0") ? 3 : 1, 30), times, 7);
        }

        private static ServiceRule rule(long shortRunMs) {
            return new ServiceRule("s", "/", RequestClass.SAFE, 1_000, 10_000, 1 << 20, 40, shortRunMs, 25);
        }

        Optional<QueuedRequest<Integer>> start(Arrival<Integer> arrival, int slots, long nowUs) {
            Optional<QueuedRequest<Integer>> shared =
                    shares && queue.busy() < slots ? queue.admitShared(arrival, rule, nowUs) : Optional.empty();
            shared.ifPresent(one -> queue.startShared(one, nowUs));
            startedShared += shared.isPresent() ? 1 : 0;
            if (shared.isPresent()) {
                return shared;
            }
            queue.setRule(rule);
            return queue.startNow(arrival, slots, nowUs);
        }

        /** Runs one command; returns a text of its outcome and of the queue's state, for comparison. */
        String step(long seed, int number, long nowUs) {
            Random random = new Random(seed);
            int slots = 4 + random.nextInt(3);
            int command = random.nextInt(20);
            String outcome = "";
            if (command < 8) {
                Arrival<Integer> arrival = arrival(random, number, nowUs);
                Optional<QueuedRequest<Integer>> started = start(arrival, slots, nowUs);
                started.ifPresent(running::add);
                if (started.isEmpty()) {
                    Offer<Integer> offer = queue.offer(arrival, slots, nowUs);
                    offer.request().ifPresent(waiting::add);
                    outcome = offer.verdict().toString();
                }
            } else if (command < 18) {
                end(random, nowUs);
                queue.poll(slots, nowUs).ifPresent(running::add);
            } else if (command == 18 && !waiting.isEmpty()) {
                queue.cancel(waiting.remove(random.nextInt(waiting.size())));
            } else if (random.nextInt(50) == 0) {
                rule = rule(50 + random.nextInt(100));
            }
            return outcome + numbers(running) + numbers(queue.takeExpired(nowUs)) + " busy " + queue.busy() + ", long "
                    + queue.busyLong() + ", waiting " + queue.size();
        }

        private static Arrival<Integer> arrival(Random random, int number, long nowUs) {
            String kind = random.nextInt(400) == 0 ? "report" : "quote";
            long deadlineUs = nowUs + 200_000 + random.nextInt(2_000_000);
            return new Arrival<>("t" + random.nextInt(3), kind, deadlineUs, 20_000, number);
        }

        private void end(Random random, long nowUs) {
            if (running.isEmpty()) {
                return;
            }
            QueuedRequest<Integer> ended = running.remove(random.nextInt(running.size()));
            times.record("s", ended.kind(), ended.kind().equals("report") ? 900_000 : nowUs - ended.startedUs());
            boolean shared = shares && queue.finishShared(ended);
            finishedShared += shared ? 1 : 0;
            if (!shared) {
                queue.finished(ended, nowUs);
            }
        }

        private static List<Integer> numbers(List<QueuedRequest<Integer>> requests) {
            return requests.stream().map(QueuedRequest::payload).toList();
        }
    }

    @ParameterizedTest(name = "{0} us a step, seed {1}")
    @CsvSource({"200, 1", "500, 2", "1000, 3", "2000, 4", "5000, 5", "5000, 6"})
    void startsAndRefusesTheSame(int stepUs, long seed) {
        Random random = new Random(seed);
        Side sharing = new Side(true);
        Side plain = new Side(false);
        long nowUs = 0;
        int stepsWithLong = 0;
        for (int i = 0; i < STEPS; i++) {
            nowUs += random.nextInt(2 * stepUs);
            long stepSeed = random.nextLong();
            stepsWithLong += plain.queue.busyLong() > 0 ? 1 : 0;
            assertThat("step " + i, sharing.step(stepSeed, i, nowUs), is(plain.step(stepSeed, i, nowUs)));
        }
        assertThat("started in the shared mode", sharing.startedShared, greaterThan(STEPS / 20));
        assertThat("ended in the shared mode", sharing.finishedShared, greaterThan(STEPS / 20));
    }
}
