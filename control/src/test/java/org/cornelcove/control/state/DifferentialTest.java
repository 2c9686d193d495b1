package org.cornelcove.control.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.ExpireClaims;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.RemoveWorker;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/** Random commands have the same outcomes in the state and in a naive reference model, also across a snapshot. */
class DifferentialTest {
    private static final Arbitrary<String> JOBS = Arbitraries.of("a", "b", "c");
    private static final Arbitrary<String> HOSTS = Arbitraries.of("h", "i");
    private static final Arbitrary<String> ENTRIES = Arbitraries.of("e", "f");
    private static final Arbitrary<String> KEYS = Arbitraries.of("k", "l");
    private static final Arbitrary<Long> SMALL = Arbitraries.longs().between(1, 3);
    private static final Arbitrary<Integer> ATTEMPTS = Arbitraries.integers().between(1, 4);
    private static final Arbitrary<Long> SIZES = Arbitraries.of(400L, 600L, 1_200L);

    @Provide
    Arbitrary<List<Command>> commands() {
        Arbitrary<Command> one =
                Arbitraries.frequencyOf(List.of(weighted(6, jobCommands()), weighted(5, entryCommands())));
        return one.list().ofMinSize(20).ofMaxSize(120);
    }

    private static Tuple.Tuple2<Integer, Arbitrary<Command>> weighted(
            int weight, Arbitrary<? extends Command> generator) {
        return Tuple.of(weight, generator.map(command -> command));
    }

    private static Arbitrary<Command> jobCommands() {
        Arbitrary<String> checkpoints = Arbitraries.of("", "c1", "c2");
        return Arbitraries.frequencyOf(List.of(
                weighted(3, Combinators.combine(JOBS, SIZES).as(Commands::submit)),
                weighted(6, Combinators.combine(JOBS, ATTEMPTS, HOSTS).as(Commands::place)),
                weighted(
                        5,
                        Combinators.combine(JOBS, ATTEMPTS, Arbitraries.of(AttemptEnd.class), checkpoints)
                                .as(Commands::end)),
                weighted(1, JOBS.map(job -> new CancelJob(JobId.of(job)))),
                weighted(
                        1,
                        Combinators.combine(JOBS, ATTEMPTS)
                                .as((job, number) -> new RecordCheckpoint(Commands.attempt(job, number), "c3"))),
                weighted(2, Combinators.combine(HOSTS, SMALL, SIZES).as(Commands::worker)),
                weighted(1, HOSTS.map(host -> new RemoveWorker(HostId.of(host)))),
                weighted(
                        1,
                        Combinators.combine(SMALL, Arbitraries.of("x", "y"), SIZES)
                                .as(Commands::propose))));
    }

    private static Arbitrary<Command> entryCommands() {
        Arbitrary<String> digests = Arbitraries.of("d", "d", "d", "o");
        Arbitrary<Long> indexes = Arbitraries.longs().between(1, 60);
        return Arbitraries.frequencyOf(List.of(
                weighted(2, Combinators.combine(ENTRIES, SMALL).as(Commands::entry)),
                weighted(
                        4,
                        Combinators.combine(KEYS, digests, ENTRIES, SMALL, SMALL)
                                .as(Commands::claim)),
                weighted(2, Combinators.combine(KEYS, ENTRIES, SMALL, SMALL).as(Commands::release)),
                weighted(
                        2,
                        Combinators.combine(KEYS, ENTRIES, SMALL, Arbitraries.of(0, 200))
                                .as(Commands::record)),
                weighted(
                        1,
                        Combinators.combine(ENTRIES, SMALL)
                                .as((entry, before) -> new AbandonClaims(EntryId.of(entry), before))),
                weighted(1, indexes.map(ExpireClaims::new))));
    }

    @Property(seed = "42", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
    void outcomesMatchReferenceModel(@ForAll("commands") List<Command> commands) {
        ControlState state = ControlState.create();
        ControlState restored = ControlState.create();
        NaiveState naive = new NaiveState();
        for (int i = 0; i < commands.size(); i++) {
            Command command = commands.get(i);
            String expected = naive.apply(i + 1, command);
            assertThat(i + ": " + command, Commands.apply(state, i + 1, command), is(equalTo(expected)));
            if (i >= commands.size() / 2) {
                assertThat("restored", Commands.apply(restored, i + 1, command), is(equalTo(expected)));
            }
            if (i == commands.size() / 2 - 1) {
                restored.restore(state.snapshot());
            }
        }
        assertThat(jobs(state), is(equalTo(naive.jobs())));
        assertThat(restored.snapshot(), is(equalTo(state.snapshot())));
    }

    private static Map<String, String> jobs(ControlState state) {
        Map<String, String> lines = new HashMap<>();
        state.read(tables -> {
            tables.jobs()
                    .all()
                    .forEach((id, job) -> lines.put(
                            id.value(),
                            job.state() + " " + job.attempt() + " "
                                    + job.host().map(HostId::value).orElse("") + " "
                                    + job.checkpoint().orElse("")));
            return null;
        });
        return lines;
    }
}
