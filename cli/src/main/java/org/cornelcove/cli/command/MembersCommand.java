package org.cornelcove.cli.command;

import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.MemberAddition;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows and changes the control members. */
@Command(
        name = "members",
        description =
                "Shows the control members, exit code 4 without a leader; 'add' and 'remove' change them, one at a time.",
        footer = {
            "",
            "Examples:",
            "  cornelcove members",
            "  cornelcove members add 4 10.0.0.4:7402",
            "  cornelcove members remove 1"
        },
        subcommands = {MembersCommand.Add.class, MembersCommand.Remove.class})
final class MembersCommand extends ClusterCommand {
    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return cluster.members().map(MembersCommand::report);
    }

    private static Report report(List<MemberView> members) {
        boolean led = members.stream().anyMatch(member -> member.state() == MemberState.LEADER);
        return new Report(members, table(members), led ? ExitCode.OK : ExitCode.NO_QUORUM);
    }

    /** Formats the members, with how long a silent one has not answered and how many log entries each is behind. */
    static String table(List<MemberView> members) {
        Table table = Table.of("ID", "ADDRESS", "VOTING", "STATE", "SILENT FOR", "BEHIND");
        members.forEach(member -> row(table, member));
        return table.render();
    }

    private static void row(Table table, MemberView member) {
        Optional<Long> silentMs = member.unansweredMs().filter(any -> member.state() == MemberState.SILENT);
        table.row(
                member.id(),
                member.address(),
                member.voting() ? "yes" : "no",
                Words.of(member.state()),
                silentMs.map(Words::ofDuration).orElse(""),
                member.behindEntries().map(Object::toString).orElse(""));
    }

    /** Adds a member. */
    @Command(
            name = "add",
            description = "Adds a control member and waits until it votes and holds everything.",
            footer = {"", "Examples:", "  cornelcove members add 4 10.0.0.4:7402"})
    static final class Add extends ClusterCommand {
        private static final long DEFAULT_TIMEOUT_MS = 120_000;

        @Parameters(
                index = "0",
                paramLabel = "ID",
                converter = Amounts.Positive.class,
                description = "A number that no member has ever had.")
        private long id;

        @Parameters(index = "1", paramLabel = "IP:PORT", description = "The new member's --rpc-address.")
        private String address;

        @Override
        long defaultTimeoutMs() {
            return DEFAULT_TIMEOUT_MS;
        }

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            if (!address.matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}")) {
                return usage("'" + address + "' is not ip:port, as 10.0.0.4:7402");
            }
            MemberAddition member = new MemberAddition(id, address);
            return cluster.addMember(member)
                    .map(done ->
                            Report.line(member, "member " + id + " at " + address + " votes and holds everything"));
        }
    }

    /** Removes a member. */
    @Command(
            name = "remove",
            description = "Removes a control member; its id is never used again.",
            footer = {"", "Examples:", "  cornelcove members remove 1"})
    static final class Remove extends ClusterCommand {
        @Parameters(paramLabel = "ID", converter = Amounts.Positive.class, description = "The member.")
        private long id;

        /**
         * The result of the command.
         *
         * @param id the id of the removed member
         */
        record Removed(long id) {}

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return cluster.removeMember(id).map(done -> Report.line(new Removed(id), "member " + id + " is removed"));
        }
    }
}
