package org.cornelcove.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.client.Timing;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.InForceView;
import org.cornelcove.rules.Units;

/** Polls until a version is in force; failed polls are ignored until the timeout. */
final class InForceWait {
    private static final long POLL_PAUSE_MS = 200;

    private InForceWait() {}

    static Either<List<Failure>, InForceView> until(Cluster cluster, long version, long waitMs, Timing timing) {
        long endMs = timing.nowMs().getAsLong() + waitMs;
        while (true) {
            Either<List<Failure>, InForceView> answer = cluster.inForce(version);
            if (answer.isRight() && answer.get().inForce()) {
                return answer;
            }
            if (timing.nowMs().getAsLong() >= endMs) {
                return Either.left(failures(answer, version, waitMs));
            }
            timing.pauseMs().accept(POLL_PAUSE_MS);
        }
    }

    private static List<Failure> failures(Either<List<Failure>, InForceView> last, long version, long waitMs) {
        String waitingFor = last.fold(failures -> "entries that could not be asked for", InForceWait::names);
        List<Failure> failures = new ArrayList<>();
        failures.add(
                Failure.of(ErrorKind.CONFIGURATION_NOT_IN_FORCE, version, Units.formatDurationMs(waitMs), waitingFor));
        last.peekLeft(failures::addAll);
        return failures;
    }

    private static String names(InForceView view) {
        return view.waitingFor().stream().map(Object::toString).collect(Collectors.joining(", "));
    }
}
