package org.cornelcove.wire;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PeriodicTaskTest {
    private static final int RUNS = 5;

    static Stream<Runnable> failures() {
        return Stream.of(
                () -> {
                    throw new IllegalStateException("expected");
                },
                () -> {
                    throw new NoClassDefFoundError("expected");
                });
    }

    /** An executor drops a periodic task at its first exception. */
    @ParameterizedTest
    @MethodSource("failures")
    void aTaskThatFailsIsRunAgain(Runnable failure) throws InterruptedException {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        CountDownLatch runs = new CountDownLatch(RUNS);
        PeriodicTask.schedule(
                executor,
                "failing",
                () -> {
                    runs.countDown();
                    failure.run();
                },
                0,
                1);
        assertThat(runs.await(10, TimeUnit.SECONDS), is(true));
        executor.shutdownNow();
    }
}
