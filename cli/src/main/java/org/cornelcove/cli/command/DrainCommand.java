package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.Names;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Drains an entry, so that it may be stopped. */
@Command(
        name = "drain",
        description = {
            "Takes an entry out of service: unready, no new requests, those in flight are finished.",
            "Returns once nothing is left, after the longest deadline in flight at most; waits up to 130s by itself."
        },
        footer = {"", "Examples:", "  cornelcove drain entry-surat-2"})
final class DrainCommand extends ClusterCommand {
    private static final long DEFAULT_TIMEOUT_MS = 130_000;

    @Parameters(paramLabel = "ENTRY", description = "The entry's name, as 'status' shows it.")
    private String entry;

    /**
     * The result of the command.
     *
     * @param entry the name of the drained entry
     */
    record Drained(String entry) {}

    @Override
    long defaultTimeoutMs() {
        return DEFAULT_TIMEOUT_MS;
    }

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        if (!Names.isName(entry)) {
            return usage("'" + entry + "' is not an entry's name");
        }
        return cluster.drain(entry)
                .map(done -> Report.line(new Drained(entry), entry + " is drained and may be stopped"));
    }
}
