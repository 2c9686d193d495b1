package org.cornelcove.bench;

import java.io.PrintStream;

/** One measurement with its target. */
public interface Benchmark {
    /**
     * Returns the name to start it by.
     *
     * @return one word
     */
    String name();

    /**
     * Returns what must hold, for the list of benchmarks.
     *
     * @return one line
     */
    String target();

    /**
     * Measures and prints the figures, the decisive ones last.
     *
     * @param out where to print
     * @return whether the target was met
     * @throws Exception when it could not be run
     */
    boolean run(PrintStream out) throws Exception;
}
