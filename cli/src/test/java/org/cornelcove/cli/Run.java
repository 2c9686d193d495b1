package org.cornelcove.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.cli.client.Timing;
import picocli.CommandLine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

/**
 * One run of the program, on a manual clock that advances only by the pauses of the program.
 *
 * @param exitCode its exit code
 * @param out its standard output
 * @param err its standard error
 */
record Run(int exitCode, String out, String err) {
    static Run of(String... arguments) {
        AtomicLong nowMs = new AtomicLong();
        CommandLine program = Cornelcove.commandLine(new Timing(nowMs::get, nowMs::addAndGet));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode = program.setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
        Run run = new Run(exitCode, out.toString(), err.toString());
        assertThat(run.out() + run.err(), not(containsString("\tat ")));
        assertThat(run.out() + run.err(), not(containsString("Exception")));
        return run;
    }
}
