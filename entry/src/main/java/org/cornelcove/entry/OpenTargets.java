package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.cornelcove.model.rule.ServiceRule;

/** Finds slots among the owned targets: not leaving, heard of lately, not ejected. */
final class OpenTargets {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int PERCENT = 100;

    private final TargetChoice choice;
    private final String availabilityZone;
    private final long silenceNs;
    private final LongSupplier nowNs;

    OpenTargets(EntrySettings settings, EntryClock clock, TargetChoice choice) {
        this.choice = choice;
        availabilityZone = settings.availabilityZone();
        silenceNs = settings.targetSilenceMs() * NANOS_PER_MS;
        nowNs = clock.nowNs();
    }

    /** Takes a slot for a request, not at the target that just failed it if there is another. */
    Optional<OwnedTarget> takeSlot(Run run, EntryView view) {
        List<OwnedTarget> open = open(run, view);
        while (true) {
            Optional<OwnedTarget> target = choice.choose(open, availabilityZone);
            if (target.isEmpty() || target.get().slots().tryTake()) {
                return target;
            }
        }
    }

    private List<OwnedTarget> open(Run run, EntryView view) {
        List<OwnedTarget> owned = view.targetsOf(run.request().service().name());
        long now = nowNs.getAsLong();
        List<OwnedTarget> open = new ArrayList<>(owned.size());
        for (OwnedTarget target : owned) {
            if (target.isOpen(now, silenceNs)) {
                open.add(target);
            }
        }
        if (open.size() > 1) {
            run.lastFailed().ifPresent(open::remove);
        }
        return open;
    }

    /** Tells whether waiting for an owned target makes sense. */
    boolean anyUsable(ServiceRequest request, EntryView view) {
        long now = nowNs.getAsLong();
        for (OwnedTarget target : view.targetsOf(request.service().name())) {
            if (target.mayOpen(now, silenceNs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of slots that a request may use when all is well. */
    int slotsFor(Run run, EntryView view) {
        ServiceRule service = run.request().service();
        int slots = 0;
        for (OwnedTarget target : view.targetsOf(service.name())) {
            slots += Math.max(0, target.slots().limit());
        }
        return run.isLong() ? Math.min(slots, longSlots(service, view)) : slots;
    }

    /** Returns the number of slots that long work may hold: what short work is not guaranteed, and at least one. */
    int longSlots(ServiceRule service, EntryView view) {
        int all = 0;
        for (OwnedTarget target : view.targetsOf(service.name())) {
            all += target.slots().total();
        }
        int kept = (all * service.shortSlotsPercent() + PERCENT - 1) / PERCENT;
        return Math.max(Math.min(1, all), all - kept);
    }
}
