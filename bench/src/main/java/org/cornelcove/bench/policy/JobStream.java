package org.cornelcove.bench.policy;

import java.util.Random;

import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;

/** Makes jobs out of a seed: mixed sizes, a hundred teams at most, some urgent, some with accelerators. */
final class JobStream {
    static final long GIB = 1L << 30;

    private final Random random;
    private final int teams;
    private final int kinds;
    private int next;

    JobStream(long seed, int teams, int kinds) {
        this.random = new Random(seed);
        this.teams = teams;
        this.kinds = kinds;
    }

    Random random() {
        return random;
    }

    JobSpec service(String task, long millicores, long memoryBytes) {
        return new JobSpec(
                JobId.of("s" + next++),
                "services",
                JobKind.SERVICE,
                task,
                Resources.of(millicores, memoryBytes, 0),
                0,
                false,
                "");
    }

    JobSpec batch(double urgentShare, double acceleratorShare) {
        long cores = 1L << random.nextInt(3);
        int accelerators = random.nextDouble() < acceleratorShare ? 1 : 0;
        return new JobSpec(
                JobId.of("b" + next++),
                "team" + random.nextInt(teams),
                JobKind.BATCH,
                "kind" + random.nextInt(kinds),
                Resources.of(cores * 1000, cores * 2 * GIB, accelerators),
                60_000,
                random.nextDouble() < urgentShare,
                "");
    }
}
