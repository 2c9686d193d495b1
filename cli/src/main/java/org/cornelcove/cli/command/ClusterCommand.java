package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;

/** A command that asks the cluster. */
abstract class ClusterCommand extends ReportingCommand {
    /** Does the command's work on the cluster. */
    abstract Either<List<Failure>, Report> execute(Cluster cluster);

    /** Returns the least time to wait for an answer; more than 0 where the cluster may take long. */
    long leastTimeoutMs() {
        return 0;
    }

    @Override
    final Either<List<Failure>, Report> execute() {
        return root().cluster(leastTimeoutMs()).flatMap(this::execute);
    }
}
