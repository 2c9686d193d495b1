package org.cornelcove.policy.route;

import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelcove.model.id.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TargetChooserTest {
    private static final Set<TargetId> NONE = Set.of();

    static TargetChooser chooser(int targets) {
        TargetChooser chooser = TargetChooser.inZone("surat");
        for (int i = 0; i < targets; i++) {
            chooser.put(id(i), i % 2 == 0 ? "surat" : "vadodara", 8);
        }
        return chooser;
    }

    static TargetId id(int i) {
        return TargetId.of("t" + i);
    }

    static void run(TargetChooser chooser, int target, SendOutcome outcome, long tookUs, long nowMs) {
        chooser.started(id(target));
        chooser.finished(id(target), outcome, tookUs, 100, nowMs);
    }

    @ParameterizedTest
    @CsvSource({"0, 0, t0", "1, 0, t0", "2, 1, t0", "3, 0, t1", "8, 2, t1", "3, 3, t0"})
    void ownZoneIsPreferredUntilItIsMuchFuller(int busyOwn, int busyOther, String chosen) {
        TargetChooser chooser = chooser(2);
        for (int i = 0; i < busyOwn; i++) {
            chooser.started(id(0));
        }
        for (int i = 0; i < busyOther; i++) {
            chooser.started(id(1));
        }
        assertThat(chooser.choose(NONE, 0), is(Optional.of(TargetId.of(chosen))));
    }

    @Test
    void failingTargetIsEjectedThenOnProbation() {
        TargetChooser chooser = chooser(4);
        for (int i = 0; i < 3; i++) {
            run(chooser, 0, SendOutcome.FAILED, 100, 0);
        }
        assertThat(chooser.ejected(0), contains(id(0)));
        assertThat(chooser.usableSlots(4999), is(24));
        assertThat(chooser.usableSlots(5000), is(25));
        run(chooser, 0, SendOutcome.FAILED, 100, 5000);
        assertThat("the ejection period doubles", chooser.usableSlots(14_999), is(24));
        for (int i = 0; i < 5; i++) {
            run(chooser, 0, SendOutcome.ANSWERED, 100, 15_000);
        }
        assertThat(chooser.usableSlots(15_000), is(32));
    }

    @ParameterizedTest
    @CsvSource({"100, false", "250, false", "500, true"})
    void targetSlowerThanTheOthersIsEjected(long tookUs, boolean ejected) {
        TargetChooser chooser = chooser(6);
        for (int round = 0; round < 40; round++) {
            for (int t = 0; t < 6; t++) {
                run(chooser, t, SendOutcome.ANSWERED, t == 0 ? tookUs : 100, 100 * round);
            }
        }
        assertThat(chooser.ejected(4_000).contains(id(0)), is(ejected));
    }

    @Test
    void oneStragglerDoesNotEject() {
        TargetChooser chooser = chooser(4);
        for (int round = 0; round < 20; round++) {
            for (int t = 0; t < 4; t++) {
                run(chooser, t, SendOutcome.ANSWERED, 100, 0);
            }
        }
        run(chooser, 0, SendOutcome.ANSWERED, 1_000_000, 0);
        assertThat(chooser.ejected(0), is(empty()));
    }

    @Property(seed = "41", tries = 60)
    void slotsAreNeverExceededAndHalfOfTheTargetsAreNotEjected(
            @ForAll @IntRange(min = 2, max = 12) int targets, @ForAll long seed) {
        TargetChooser chooser = chooser(targets);
        Random random = new Random(seed);
        int[] busy = new int[targets];
        for (int step = 0; step < 500; step++) {
            Optional<TargetId> chosen = chooser.choose(NONE, step);
            chosen.ifPresent(target -> {
                chooser.started(target);
                busy[index(target)]++;
            });
            int t = random.nextInt(targets);
            if (busy[t] > 0) {
                busy[t]--;
                chooser.finished(id(t), SendOutcome.FAILED, 100, 100, step);
            }
            for (int count : busy) {
                assertThat(count, lessThanOrEqualTo(8));
            }
            assertThat(chooser.ejected(step).size() * 2, lessThanOrEqualTo(targets));
        }
    }

    private static int index(TargetId target) {
        return Integer.parseInt(target.value().substring(1));
    }
}
