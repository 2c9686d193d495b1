package org.cornelcove.cli.command;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.cornelcove.cli.output.Table;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.EntryView;
import org.cornelcove.model.view.TargetState;
import org.cornelcove.model.view.TargetView;
import org.cornelcove.model.view.WorkerState;
import org.cornelcove.model.view.WorkerView;
import org.cornelcove.rules.Units;

/**
 * Formats the state of the cluster as text: counts first, then tables. Of a long table only the first rows are shown,
 * unhealthy ones before the rest, so that the output stays readable with thousands of workers.
 */
final class StatusText {
    private final ClusterStatus status;
    private final int maxRows;

    private StatusText(ClusterStatus status, int maxRows) {
        this.status = status;
        this.maxRows = maxRows;
    }

    static String of(ClusterStatus status, int maxRows) {
        return new StatusText(status, maxRows).render();
    }

    private String render() {
        return summary() + members() + entries() + targets() + workers();
    }

    private String members() {
        String countsByState = countsByState(status.members(), member -> Words.of(member.state()));
        return title("CONTROL MEMBERS", countsByState) + MembersCommand.table(status.members());
    }

    private String summary() {
        String leader = status.leader()
                .map(id -> "member " + id)
                .orElse("none; start the missing control hosts or replace them");
        String jobs = status.jobs().entrySet().stream()
                .filter(count -> count.getValue() > 0)
                .map(count -> count.getValue() + " " + Words.of(count.getKey()))
                .collect(Collectors.joining(", "));
        return "leader         " + leader + "\n"
                + "term           " + status.term() + "\n"
                + "commit index   " + status.commitIndex() + "\n"
                + "configuration  version " + status.configurationVersion() + "\n"
                + "jobs           " + (jobs.isEmpty() ? "none" : jobs) + "\n";
    }

    private String entries() {
        Table table = Table.of("NAME", "ZONE", "CONFIGURATION", "STATE");
        return section(
                "ENTRIES",
                status.entries(),
                StatusText::stateOf,
                entry -> isCurrent(entry),
                table,
                entry -> table.row(
                        entry.name(), entry.availabilityZone(), entry.configurationVersion(), stateOf(entry)));
    }

    private boolean isCurrent(EntryView entry) {
        return entry.live() && entry.configurationVersion() >= status.configurationVersion();
    }

    private static String stateOf(EntryView entry) {
        return entry.live() ? "live" : "silent";
    }

    private String targets() {
        Table table = Table.of("NAME", "SERVICE", "ZONE", "OWNER", "STATE");
        return section(
                "TARGETS",
                status.targets(),
                target -> Words.of(target.state()),
                target -> target.state() == TargetState.LIVE && target.owner().isPresent(),
                table,
                target -> row(table, target));
    }

    private static Table row(Table table, TargetView target) {
        String owner = target.owner().map(Object::toString).orElse("");
        return table.row(target.name(), target.service(), target.availabilityZone(), owner, Words.of(target.state()));
    }

    private String workers() {
        Table table = Table.of("NAME", "ZONE", "RACK", "CPU FREE", "MEMORY FREE", "ACCELERATORS FREE", "STATE");
        return section(
                "WORKERS",
                status.workers(),
                worker -> Words.of(worker.state()),
                worker -> worker.state() == WorkerState.LIVE,
                table,
                worker -> row(table, worker));
    }

    private static Table row(Table table, WorkerView worker) {
        Resources free = worker.free();
        Resources capacity = worker.capacity();
        return table.row(
                worker.name(),
                worker.availabilityZone(),
                worker.rack(),
                Units.formatCpuMillicores(free.cpuMillicores()) + "/"
                        + Units.formatCpuMillicores(capacity.cpuMillicores()),
                Units.formatSizeBytes(free.memoryBytes()) + "/" + Units.formatSizeBytes(capacity.memoryBytes()),
                free.accelerators() + "/" + capacity.accelerators(),
                Words.of(worker.state()));
    }

    /** Formats one table under a title with the number of rows by state. */
    private <T> String section(
            String title,
            List<T> all,
            Function<T, String> state,
            Function<T, Boolean> isHealthy,
            Table table,
            Function<T, Table> addRow) {
        all.stream().sorted(Comparator.comparing(isHealthy)).limit(maxRows).forEach(addRow::apply);
        String rest = all.size() > maxRows ? "... and " + (all.size() - maxRows) + " more; --all shows them\n" : "";
        return title(title, countsByState(all, state)) + table.render() + rest;
    }

    private static String title(String title, String countsByState) {
        return "\n" + title + (countsByState.isEmpty() ? "" : ": " + countsByState) + "\n";
    }

    private static <T> String countsByState(List<T> all, Function<T, String> state) {
        Map<String, Long> counts =
                all.stream().collect(Collectors.groupingBy(state, TreeMap::new, Collectors.counting()));
        return counts.entrySet().stream()
                .map(count -> count.getValue() + " " + count.getKey())
                .collect(Collectors.joining(", "));
    }
}
