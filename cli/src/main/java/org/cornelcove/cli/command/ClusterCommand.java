package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;

/** A command that asks the cluster. */
abstract class ClusterCommand extends ReportingCommand {
    private static final long USUAL_TIMEOUT_MS = 10_000;

    /** Does the command's work on the cluster. */
    abstract Either<List<Failure>, Report> execute(Cluster cluster);

    /** Returns how long to wait for an answer without --timeout; more where the cluster may take long. */
    long usualTimeoutMs() {
        return USUAL_TIMEOUT_MS;
    }

    @Override
    final Either<List<Failure>, Report> execute() {
        return root().cluster(usualTimeoutMs()).flatMap(this::execute);
    }
}
