package org.cornelcove.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Checks that {@link History} detects the faults of {@link MutantRelay}, and that the entry violates no guarantee. */
class HistoryTest {
    @ParameterizedTest
    @CsvSource({
        "NONE, ''",
        "RETRY_AFTER_WRITE, at most once",
        "NO_CLAIM, at most once",
        "REUSE_OF_A_TIMED_OUT_CONNECTION, whole answer",
        "PART_AS_WHOLE, whole answer",
        "NOT_RUN_AFTER_WRITE, not run",
        "KEY_FREED_AT_THE_DEADLINE, never in two places",
        "LEAVING_IGNORED, nothing to a leaving target"
    })
    void theCheckersDetectFaultyRelays(MutantRelay.Fault fault, String violated) throws Exception {
        try (FakeTarget first = FakeTarget.start("t1", Behaviour.ECHO);
                FakeTarget second = FakeTarget.start("t2", Behaviour.ECHO)) {
            History history = new History(List.of(first, second));
            MutantRelay relay = new MutantRelay(fault, port(first), port(second));
            first.behave(Behaviour.HOLD);
            history.exchanges.add(relay.send("r1", "exclusive", "k1", "a"));
            history.exchanges.add(relay.send("r2", "exclusive", "k1", "a"));
            first.releaseHeld();
            Rig.await(() -> first.running.get() == 0);
            first.behave(Behaviour.ECHO);
            history.exchanges.add(relay.send("r3", "safe", "k3", "c"));
            first.behave(Behaviour.CUT_LENGTH);
            history.exchanges.add(relay.send("r4", "once", "k4", "d"));
            history.exchanges.add(relay.send("r5", "once", "k4", "d"));
            first.behave(Behaviour.ECHO);
            relay.leaves(0);
            history.leftNs.put(0, System.nanoTime());
            history.exchanges.add(relay.send("r6", "safe", "k6", "f"));
            String found = String.join("; ", history.violations());
            assertThat(found, violated.isEmpty() ? is("") : containsString(violated));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 400, 900})
    void aRunPastItsDeadlineKeepsItsKeyLocked(long workMs) throws Exception {
        FakeTarget target = FakeTarget.start("t", "zone-a", request -> (received, out, own) -> {
            Thread.sleep(workMs);
            Behaviour.ECHO.answer(received, out, own);
        });
        try (Rig rig = new Rig().with(target)) {
            rig.control.service = FakeControl.rule(100, 1 << 20, 1_000);
            rig.open();
            History history = new History(rig.targets);
            for (int i = 0; i < 12; i++) {
                rig.send(rig.post("r" + i, "exclusive", "k", "a"));
            }
            Rig.await(() -> target.running.get() == 0);
            assertThat(history.violations(), is(empty()));
        }
    }

    private static int port(FakeTarget target) {
        String address = target.announcement("s", 1, false).address();
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theEntryViolatesNoGuarantee(long seed) throws Exception {
        Behaviour[] behaviours = {
            Behaviour.ECHO,
            Behaviour.ECHO,
            Behaviour.ECHO_CHUNKED,
            Behaviour.REFUSE,
            Behaviour.DIE_AFTER_ACCEPT,
            Behaviour.CUT_LENGTH,
            Behaviour.CUT_CHUNKED,
            Behaviour.CUT_HEAD,
            (request, out, target) -> {
                Thread.sleep(Math.floorMod(request.id().hashCode(), 7) * 10L + 70);
                Behaviour.ECHO.answer(request, out, target);
            }
        };
        List<FakeTarget> targets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int own = i;
            targets.add(FakeTarget.start(
                    "t" + i,
                    "zone-a",
                    request -> behaviours[
                            new Random(seed * 31 + own * 7 + request.id().hashCode()).nextInt(behaviours.length)]));
        }
        try (Rig rig = new Rig().with(targets.toArray(FakeTarget[]::new))) {
            rig.control.service = FakeControl.rule(100, 1 << 20, 1_000);
            rig.open();
            History history = new History(targets);
            Random random = new Random(seed);
            String[] classes = {"safe", "exclusive", "once"};
            for (int round = 0; round < 8; round++) {
                if (round == 5) {
                    rig.entry.announce(targets.get(2).announcement(FakeControl.SERVICE, 8, true));
                    rig.targets.remove(2);
                    rig.grantAll(8);
                    Rig.await(() -> targets.get(2).running.get() == 0);
                    history.leftNs.put(2, System.nanoTime());
                }
                List<String[]> sent = new ArrayList<>();
                List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
                for (int i = 0; i < 40; i++) {
                    String key = "k" + random.nextInt(30);
                    String[] one = {"r" + round + "x" + i, classes[random.nextInt(3)], key, "body-" + key};
                    sent.add(one);
                    answers.add(rig.sendAsync(rig.post(one[0], one[1], one[2], one[3])));
                }
                for (int i = 0; i < sent.size(); i++) {
                    HttpResponse<String> answer = answers.get(i).get();
                    String[] one = sent.get(i);
                    history.exchanges.add(new History.Exchange(
                            one[0], one[1], one[2], one[3], answer.statusCode(), Rig.run(answer), answer.body()));
                }
            }
            assertThat(history.violations(), is(empty()));
            targets.get(2).close();
        }
    }
}
