package org.cornelcove.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.Coverage;
import org.cornelcove.model.view.EntryView;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.TargetState;
import org.cornelcove.model.view.TargetView;
import org.cornelcove.model.view.WorkerState;
import org.cornelcove.model.view.WorkerView;

/** Sample view records for the answers of the fake daemon. */
final class Samples {
    static final List<MemberView> MEMBERS = List.of(
            new MemberView(1, "127.0.0.1:7402", true, MemberState.LEADER, Optional.empty(), Optional.empty()),
            new MemberView(2, "127.0.0.3:7402", true, MemberState.SILENT, Optional.of(61_250L), Optional.of(90L)),
            new MemberView(12, "127.0.0.2:7402", false, MemberState.LEARNER, Optional.of(40L), Optional.of(7L)));

    static final Coverage WHOLE = new Coverage(List.of(EntryId.of("e1"), EntryId.of("e2")), List.of(), List.of(), true);

    private Samples() {}

    static ClusterStatus status(Optional<Long> leader) {
        return new ClusterStatus(
                leader,
                4,
                120,
                MEMBERS,
                List.of(new EntryView(EntryId.of("entry-1"), "surat", 7, true)),
                List.of(new TargetView(
                        TargetId.of("booking-1"), "booking", "surat", Optional.empty(), TargetState.LEAVING)),
                List.of(new WorkerView(
                        HostId.of("worker-1"),
                        "surat",
                        "rack-1",
                        Resources.of(32_000, 125_000_000_000L, 1),
                        Resources.of(500, 8L << 30, 0),
                        WorkerState.LIVE)),
                Map.of(JobState.PLACED, 2),
                7);
    }

    /** Returns a cluster in which only the last entry is not live. */
    static ClusterStatus manyEntries(int count) {
        List<EntryView> entries = IntStream.rangeClosed(1, count)
                .mapToObj(number -> new EntryView(EntryId.of("entry-" + number), "surat", 7, number < count))
                .toList();
        return new ClusterStatus(Optional.of(1L), 4, 120, MEMBERS, entries, List.of(), List.of(), Map.of(), 7);
    }

    static ConfigurationView configuration(long version, long changeNumber, String digest) {
        return new ConfigurationView(version, changeNumber, "asha", digest, RuleSet.empty());
    }

    static JobView job(String id, JobState state) {
        JobSpec spec = new JobSpec(
                JobId.of(id), "payouts", JobKind.BATCH, "run", Resources.of(4000, 8L << 30, 0), 0, false, "");
        return new JobView(spec, state, 1, Optional.of(HostId.of("worker-1")), Optional.empty(), "");
    }
}
