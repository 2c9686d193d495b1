package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;

/** A command that calls the cluster. */
abstract class ClusterCommand extends ReportingCommand {
    private static final long DEFAULT_TIMEOUT_MS = 10_000;

    /** Runs the command against the cluster. */
    abstract Either<List<Failure>, Report> execute(Cluster cluster);

    /** Returns the timeout of an answer without --timeout; overridden by commands whose calls take longer. */
    long defaultTimeoutMs() {
        return DEFAULT_TIMEOUT_MS;
    }

    @Override
    final Either<List<Failure>, Report> execute() {
        return root().cluster(defaultTimeoutMs()).flatMap(this::execute);
    }
}
