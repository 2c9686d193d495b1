package org.cornelcove.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;
import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.entry.NaiveEntry.Does;
import org.cornelcove.entry.NaiveEntry.Result;
import org.cornelcove.entry.NaiveEntry.TestRequest;
import org.cornelcove.model.error.ErrorKind;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Compares the entry with {@link NaiveEntry} on random sequences of requests. */
class DifferentialTest {
    private static final double MOST_PERCENT = 75;
    private static final List<Does> WELL = List.of(Does.ECHO, Does.ECHO_CHUNKED);

    /** How an answer of the entry differs from that of the naive version, in order of severity. */
    enum Difference {
        NONE,
        /** Guarantee 5 allows refusing any request as not run, provided that no target ran it. */
        REFUSED_UNRUN,
        /**
         * Guarantee 2 allows unlocking an exclusive key of unknown outcome once no target can still run its request.
         */
        KEY_FREED,
        NOT_ALLOWED
    }

    @Provide
    Arbitrary<List<TestRequest>> wellBehaved() {
        return requestLists(Arbitraries.of(WELL));
    }

    @Provide
    Arbitrary<List<TestRequest>> failing() {
        return requestLists(Arbitraries.of(Does.values()));
    }

    private static Arbitrary<List<TestRequest>> requestLists(Arbitrary<Does> does) {
        return Combinators.combine(
                        Arbitraries.of("safe", "exclusive", "once"),
                        Arbitraries.of("k1", "k2", "k3", "k4", "k5", "k6"),
                        does,
                        Arbitraries.of("a", "b"))
                .as((requestClass, key, done, body) -> new TestRequest("", requestClass, key, done, body))
                .list()
                .ofMinSize(10)
                .ofMaxSize(40)
                .map(DifferentialTest::numbered);
    }

    private static List<TestRequest> numbered(List<TestRequest> all) {
        List<TestRequest> numbered = new ArrayList<>();
        for (TestRequest one : all) {
            numbered.add(new TestRequest("r" + numbered.size(), one.requestClass(), one.key(), one.does(), one.body()));
        }
        return numbered;
    }

    @Property(seed = "42", tries = 30, shrinking = ShrinkingMode.OFF)
    void whileTargetsAreWellThereIsNoDifference(@ForAll("wellBehaved") List<TestRequest> requests) throws Exception {
        assertThat(differences(requests, Difference.NONE), is(empty()));
    }

    @Property(seed = "42", tries = 12, shrinking = ShrinkingMode.OFF)
    void whileTargetsFailEachDifferenceIsAllowed(@ForAll("failing") List<TestRequest> requests) throws Exception {
        assertThat(differences(requests, Difference.KEY_FREED), is(empty()));
        Statistics.coverage(coverage -> coverage.check(Difference.NONE).percentage(share -> share > MOST_PERCENT));
    }

    /** Returns the differences that are more severe than the given one. */
    private static List<String> differences(List<TestRequest> requests, Difference worst) throws Exception {
        List<String> found = new ArrayList<>();
        NaiveEntry naive = new NaiveEntry();
        try (Rig rig = new Rig().with(target("t1"), target("t2"))) {
            rig.open();
            for (TestRequest asked : requests) {
                Result expected = naive.answer(asked);
                Result got = send(rig, asked);
                Difference difference = difference(asked, expected, got);
                if (difference == Difference.REFUSED_UNRUN) {
                    naive.refused(asked);
                } else if (difference == Difference.KEY_FREED && got.run() != RunState.UNKNOWN) {
                    naive.freed(asked);
                }
                Statistics.collect(difference);
                if (difference.compareTo(worst) > 0) {
                    found.add(difference + ": " + asked + " expected " + expected + " got " + got);
                }
            }
        }
        return found;
    }

    private static Difference difference(TestRequest asked, Result expected, Result got) {
        if (got.equals(expected)) {
            return Difference.NONE;
        }
        boolean unrun = got.run() == RunState.NOT_RUN && !got.ran();
        if (unrun && expected.error().filter(ErrorKind.KEY_REUSED::equals).isEmpty()) {
            return Difference.REFUSED_UNRUN;
        }
        boolean held = expected.error().filter(ErrorKind.KEY_IN_FLIGHT::equals).isPresent();
        boolean asAfresh = got.equals(new NaiveEntry().answer(asked));
        return held && asAfresh ? Difference.KEY_FREED : Difference.NOT_ALLOWED;
    }

    private static FakeTarget target(String name) throws Exception {
        return FakeTarget.start(name, "zone-a", request -> does(request.uri));
    }

    private static Behaviour does(String uri) {
        return Does.valueOf(uri.substring(uri.indexOf('=') + 1)).behaviour;
    }

    private static Result send(Rig rig, TestRequest asked) throws Exception {
        HttpRequest request = rig.request(asked.uri())
                .header(Headers.REQUEST_ID, asked.id())
                .header(Headers.CLASS, asked.requestClass())
                .header(Headers.KEY, asked.key())
                .POST(HttpRequest.BodyPublishers.ofString(asked.body()))
                .build();
        HttpResponse<String> answer = rig.send(request);
        RunState run = RunState.valueOf(Rig.run(answer).replace('-', '_').toUpperCase(Locale.ROOT));
        boolean ran = rig.targets.stream()
                .flatMap(target -> target.log.stream())
                .anyMatch(seen -> seen.id().equals(asked.id()) && !seen.refused);
        return new Result(run, kind(Rig.error(answer)), run == RunState.DONE ? answer.body() : "", ran);
    }

    private static Optional<ErrorKind> kind(int number) {
        return List.of(ErrorKind.values()).stream()
                .filter(kind -> kind.number() == number)
                .findFirst();
    }
}
