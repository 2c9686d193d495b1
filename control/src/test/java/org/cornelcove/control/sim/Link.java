package org.cornelcove.control.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** The network between one client and the control hosts, with faults that can be set at any time. */
final class Link {
    private final Timeline time;
    private long extraDelayMs;
    private boolean down;
    private boolean answersLost;
    private boolean duplicating;
    private boolean duplicatingLate;
    private boolean reordering;

    Link(Timeline time) {
        this.time = time;
    }

    public void down(boolean isDown) {
        down = isDown;
    }

    public void answersLost(boolean enabled) {
        answersLost = enabled;
    }

    public void duplicating(boolean enabled) {
        duplicating = enabled;
    }

    /** Sets whether each message is delivered a second time after a delay. */
    public void duplicatingLate(boolean enabled) {
        duplicatingLate = enabled;
    }

    public void reordering(boolean enabled) {
        reordering = enabled;
    }

    public void extraDelayMs(long delayMs) {
        extraDelayMs = delayMs;
    }

    <T> void call(Supplier<CompletableFuture<T>> remote, BiConsumer<T, Throwable> answer) {
        deliver(remote, answer);
        if (duplicating) {
            deliver(remote, answer);
        }
        if (duplicatingLate) {
            time.after(time.between(300, 900), () -> deliver(remote, answer));
        }
    }

    private <T> void deliver(Supplier<CompletableFuture<T>> remote, BiConsumer<T, Throwable> answer) {
        if (down) {
            return;
        }
        time.after(delayMs(), () -> remote.get().whenComplete((value, fault) -> {
            if (!down && !answersLost) {
                time.after(delayMs(), () -> answer.accept(value, fault));
            }
        }));
    }

    private long delayMs() {
        long shuffleMs = reordering ? time.between(0, 1_800) : 0;
        return time.between(1, 4) + extraDelayMs + shuffleMs;
    }
}
