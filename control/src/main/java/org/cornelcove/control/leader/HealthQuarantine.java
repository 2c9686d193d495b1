package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.policy.quarantine.WorkerHealth;

/**
 * Quarantines workers by {@link WorkerHealth}. What it learned is soft state: a new leader trusts every worker until it
 * has seen failures of its own.
 */
final class HealthQuarantine implements WorkerQuarantine {
    private final WorkerHealth health = WorkerHealth.of(BatchRule.DEFAULT.quarantinePercent());

    private HealthQuarantine() {}

    static HealthQuarantine create() {
        return new HealthQuarantine();
    }

    @Override
    public int mostAttempts(HostId host, long nowMs) {
        health.add(host);
        return health.maxAttempts(host, nowMs);
    }

    @Override
    public void setMaxPercent(int percent) {
        health.setMaxPercent(percent);
    }

    @Override
    public void ended(HostId host, JobSpec spec, AttemptEnd end, long nowMs) {
        switch (end) {
            case FINISHED -> health.succeeded(host, spec.id());
            case FAILED -> health.failed(host, spec.id(), nowMs);
            case EVICTED, LOST -> {
                // Neither speaks for or against the worker's ability to run tasks.
            }
            default -> throw new IllegalArgumentException(end.name());
        }
    }
}
