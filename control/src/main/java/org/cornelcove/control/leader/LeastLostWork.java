package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.cornelcove.control.state.Fit;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.rule.BatchRule;

/** Evicts attempts in the order of the work that each would lose, until the job fits. */
public final class LeastLostWork implements EvictionPolicy {
    /** The policy. */
    public static final LeastLostWork INSTANCE = new LeastLostWork();

    private static final Comparator<Victim> ORDER = Comparator.comparingDouble(Victim::lostWork)
            .thenComparing(victim -> victim.attempt().job());

    private LeastLostWork() {}

    @Override
    public List<Victim> choose(JobSpec spec, HostRoom room, List<Victim> victims, BatchRule rule) {
        List<Victim> chosen = new ArrayList<>();
        HostRoom left = room;
        for (Victim victim : victims.stream().sorted(ORDER).toList()) {
            if (Fit.fits(spec, left.capacity(), left.held(), rule)) {
                break;
            }
            left = left.minus(victim.spec().resources(), true);
            chosen.add(victim);
        }
        return Fit.fits(spec, left.capacity(), left.held(), rule) ? chosen : List.of();
    }
}
